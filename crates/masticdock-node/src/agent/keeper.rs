//! Brings the engine to the declared version: fetch, stage, read back, order.

use std::rc::Rc;
use std::time::Duration;

use masticdock_adapter::{OrderAnswer, OriginClient};
use masticdock_core::ids::UpstreamId;
use masticdock_core::serving::{SwitchPlan, VersionNumber, VersionTimeline};
use masticdock_core::units::MonoMs;
use tokio::time::{sleep, timeout};

use super::fetch::{Fetched, fetch};
use super::pieces::Pieces;
use super::state::{Agent, ModelGoal};
use crate::clock;

/// Longest wait for a change before the state is looked at again.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after a step that failed.
const PAUSE: Duration = Duration::from_millis(150);
/// Time for the engine to show an accepted order in its report.
const ORDER_SHOWN: Duration = Duration::from_millis(400);

/// Keeps the engine at the declared version for ever.
pub(crate) async fn run(agent: Rc<Agent>) {
    loop {
        let Some((goal, version)) = next(&agent) else {
            let _ = timeout(LOOK_INTERVAL, agent.changed.notified()).await;
            continue;
        };
        if !advance(&agent, &goal, version).await {
            sleep(PAUSE).await;
        }
    }
}

/// Returns the version to bring the engine to, or `None` while it holds it.
fn next(agent: &Agent) -> Option<(ModelGoal, VersionNumber)> {
    let goal = agent.model_goal()?;
    // Without a report it is not known what the engine holds.
    agent.report.borrow().as_ref()?;
    let version = newest(agent, &goal);
    if agent.held(&goal) == Some(version) {
        settle(agent, version);
        return None;
    }
    if agent
        .report
        .borrow()
        .as_ref()
        .is_some_and(|report| report.busy)
        && agent.staged.get() == Some(version)
    {
        return None;
    }
    Some((goal, version))
}

fn newest(agent: &Agent, goal: &ModelGoal) -> VersionNumber {
    let catalog = agent.catalog.borrow();
    catalog
        .timeline(&goal.model)
        .map_or(VersionNumber(1), VersionTimeline::newest)
}

/// Frees the pieces in memory once the engine holds them: the stage serves peers.
fn settle(agent: &Agent, version: VersionNumber) {
    agent.staged.set(Some(version));
    let mut pieces = agent.pieces.borrow_mut();
    if pieces
        .as_ref()
        .is_some_and(|pieces| pieces.version == version)
    {
        log::info!(
            event = "version.serving",
            weights = version.0;
            "the engine serves the version"
        );
        *pieces = None;
    }
}

/// Takes the next step towards `version`; returns false when it failed.
async fn advance(agent: &Rc<Agent>, goal: &ModelGoal, version: VersionNumber) -> bool {
    let Some(pieces) = prepare(agent, goal, version).await else {
        return false;
    };
    match fetch(agent, goal, &pieces).await {
        Fetched::Complete => {}
        end => {
            log::warn!(
                event = "fetch.ended",
                weights = version.0,
                end:? = end;
                "the version cannot be fetched; it is tried anew"
            );
            *agent.pieces.borrow_mut() = None;
            return false;
        }
    }
    if !wait_for_turn(agent, goal, version).await {
        // A newer version replaced this one.
        return true;
    }
    read_back(agent, &pieces).await && order(agent, goal, version).await
}

/// Returns the pieces of `version`, with its manifest and what the stage holds already.
async fn prepare(
    agent: &Rc<Agent>,
    goal: &ModelGoal,
    version: VersionNumber,
) -> Option<Rc<Pieces>> {
    let current = agent.pieces.borrow().clone();
    if let Some(pieces) = current.filter(|pieces| pieces.version == version) {
        return Some(pieces);
    }
    agent.read_upstreams().await;
    // Until the upstream has registered, peers rank its pieces differently.
    agent.own_id()?;
    let origin = OriginClient::new(goal.origin.address);
    let manifest = match origin
        .manifest(&goal.model, version, goal.engine.pieces)
        .await
    {
        Ok(Some(manifest)) => manifest,
        Ok(None) => {
            log::warn!(
                event = "manifest.gone",
                weights = version.0;
                "the origin no longer has the version"
            );
            return None;
        }
        Err(error) => {
            log::warn!(
                event = "manifest.failed",
                weights = version.0,
                error:% = error;
                "the manifest could not be read; it is tried again"
            );
            return None;
        }
    };
    let pieces = Pieces::new(goal.model.clone(), version, manifest);
    adopt_staged(agent, &pieces).await;
    log::info!(
        event = "version.fetching",
        weights = version.0,
        pieces = pieces.count();
        "the pieces of a version are fetched"
    );
    *agent.pieces.borrow_mut() = Some(Rc::clone(&pieces));
    agent.changed.notify_waiters();
    Some(pieces)
}

/// Takes over staged pieces whose digest is right, for example after a crash of the engine.
async fn adopt_staged(agent: &Agent, pieces: &Pieces) {
    let staged = match agent.engine.staged(&pieces.model).await {
        Ok(staged) => staged,
        Err(error) => {
            log::warn!(event = "stage.unreadable", error:% = error; "the stage cannot be listed");
            return;
        }
    };
    for (read, piece) in staged.into_iter().enumerate() {
        let Ok(Some(bytes)) = agent.engine.read_staged(&pieces.model, piece).await else {
            continue;
        };
        // A stage of another version shows in its first pieces.
        if !pieces.insert(piece, bytes) && read == 0 {
            return;
        }
    }
}

/// Waits for this upstream's turn; returns false when a newer version may replace `version`.
async fn wait_for_turn(agent: &Agent, goal: &ModelGoal, version: VersionNumber) -> bool {
    let plan = SwitchPlan::default();
    loop {
        let now = clock::now();
        if agent.held(goal).is_none() {
            // Nothing is served here, so nothing is interrupted.
            return newest(agent, goal) == version;
        }
        let (turn, deadline) = turn(agent, goal, version, &plan, now);
        if newest(agent, goal) > version
            && deadline.is_none_or(|deadline| plan.can_skip(now, deadline))
        {
            return false;
        }
        if now >= turn {
            return true;
        }
        let _ = timeout(turn.since(now), agent.changed.notified()).await;
    }
}

/// Returns this upstream's turn and the deadline of the oldest version still due.
fn turn(
    agent: &Agent,
    goal: &ModelGoal,
    version: VersionNumber,
    plan: &SwitchPlan,
    now: MonoMs,
) -> (MonoMs, Option<MonoMs>) {
    let catalog = agent.catalog.borrow();
    let Some(own) = agent.own_id() else {
        return (now, None);
    };
    let Some(timeline) = catalog.timeline(&goal.model) else {
        return (now, None);
    };
    let Some(learnt_at) = timeline.learnt_at(version) else {
        return (now, None);
    };
    let upstreams: Vec<UpstreamId> = catalog
        .directory
        .iter()
        .filter(|upstream| {
            Some(&upstream.service) == agent.settings.service.as_ref() && !upstream.leaving
        })
        .map(|upstream| upstream.id.clone())
        .collect();
    let deadline = timeline.next_deadline(now);
    let turn = plan.turn(&own, &upstreams, version, learnt_at, deadline);
    (turn, deadline)
}

/// Reads the stage back and stages wrong pieces anew; returns false when some stay wrong.
async fn read_back(agent: &Agent, pieces: &Pieces) -> bool {
    for piece in 0..pieces.count() {
        let read = agent.engine.read_staged(&pieces.model, piece).await;
        if let Ok(Some(bytes)) = &read
            && pieces.matches(piece, bytes)
        {
            continue;
        }
        let Some(bytes) = pieces.get(piece) else {
            return false;
        };
        log::warn!(
            event = "stage.spoilt",
            piece = piece,
            weights = pieces.version.0;
            "a staged piece is missing or spoilt; it is staged again"
        );
        if let Err(error) = agent.engine.stage(&pieces.model, piece, bytes).await {
            log::warn!(event = "piece.unstaged", piece = piece, error:% = error; "a piece could not be staged");
            return false;
        }
    }
    true
}

/// Orders the engine to load the stage; returns false when it is not known to load.
async fn order(agent: &Agent, goal: &ModelGoal, version: VersionNumber) -> bool {
    let Some(orders) = agent.report.borrow().as_ref().map(|report| report.orders) else {
        return false;
    };
    let answer = agent.engine.load_staged(&goal.model, version, orders).await;
    let accepted = match &answer {
        Ok(answer) => matches!(answer, OrderAnswer::Accepted | OrderAnswer::InEffect),
        // The report shows whether the order was accepted.
        Err(_) => false,
    };
    log::info!(
        event = "order.sent",
        weights = version.0,
        orders = orders,
        answer:? = answer;
        "the engine was ordered to load the stage"
    );
    if accepted {
        agent.staged.set(Some(version));
    }
    let _ = timeout(ORDER_SHOWN, agent.changed.notified()).await;
    accepted
}
