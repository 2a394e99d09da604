//! Brings the engine to a fetched version: stage, read back, wait for the turn, order.

use std::rc::Rc;
use std::time::Duration;

use masticdock_adapter::{OrderAnswer, OrderMode};
use masticdock_core::ids::UpstreamId;
use masticdock_core::serving::{SwitchPlan, VersionNumber};
use masticdock_core::units::MonoMs;
use tokio::time::{sleep, timeout};

use super::state::{Agent, ModelGoal};
use super::version_chunks::Pieces;
use crate::clock;

/// Longest wait for a change before the state is looked at again.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after a step that failed.
const PAUSE: Duration = Duration::from_millis(150);
/// Time for the engine to show an accepted order in its report.
const ORDER_SHOWN: Duration = Duration::from_millis(400);

/// Time between the announcement of a switch and the cut of the requests that
/// still run, in milliseconds. Entries send nothing new meanwhile; short
/// answers end, and cut streams are resumed elsewhere within the longest pause
/// of an objective.
const DRAIN_MS: u64 = 700;
/// Time between two looks at the requests that run.
const DRAIN_LOOK: Duration = Duration::from_millis(100);
/// Time for which a stream that cannot be resumed forbids cuts, in milliseconds.
const UNRESUMABLE_MS: u64 = 10_000;

/// Brings the engine to fetched versions for ever.
pub(crate) async fn run(agent: Rc<Agent>) {
    loop {
        let Some((goal, pieces)) = next(&agent) else {
            let _ = timeout(LOOK_INTERVAL, agent.changed.notified()).await;
            continue;
        };
        if !advance(&agent, &goal, &pieces).await {
            sleep(PAUSE).await;
        }
    }
}

/// Returns the newest version in memory that the engine lacks and is not loading.
fn next(agent: &Agent) -> Option<(ModelGoal, Rc<Pieces>)> {
    let goal = agent.model_goal()?;
    let busy = agent.report.borrow().as_ref()?.busy;
    let pieces = agent.newest_fetched()?;
    if agent.held(&goal) >= Some(pieces.version) {
        return None;
    }
    if busy && agent.ordered.get() == Some(pieces.version) {
        return None;
    }
    Some((goal, pieces))
}

/// Takes the next step towards the version of `pieces`; returns false when it failed.
async fn advance(agent: &Rc<Agent>, goal: &ModelGoal, pieces: &Rc<Pieces>) -> bool {
    if agent.staged.get() != Some(pieces.version) {
        if !stage(agent, pieces).await {
            return false;
        }
        agent.staged.set(Some(pieces.version));
    }
    if !wait_for_turn(agent, goal, pieces.version).await {
        return true;
    }
    if !read_back(agent, pieces).await {
        return false;
    }
    agent.switching.set(true);
    agent.changed.notify_waiters();
    let mode = drain(agent, goal).await;
    let accepted = order(agent, goal, pieces.version, mode).await;
    agent.switching.set(false);
    agent.changed.notify_waiters();
    accepted
}

/// Waits for requests to end after the switch was announced, and decides what
/// becomes of the rest.
async fn drain(agent: &Agent, goal: &ModelGoal) -> OrderMode {
    if agent.held(goal).is_none() {
        return OrderMode::AfterRequests;
    }
    let now = clock::now();
    // Without entries nobody resumes streams.
    let resumable = now.since_ms(agent.unresumable_at.get()) > UNRESUMABLE_MS;
    if !agent.hears_entries(now) || !resumable {
        return OrderMode::AfterRequests;
    }
    let until = now.plus_ms(DRAIN_MS);
    loop {
        sleep(DRAIN_LOOK).await;
        let report = agent.report.borrow();
        let left = report
            .as_ref()
            .map_or(0, |report| report.running + report.queued);
        if left == 0 {
            return OrderMode::AfterRequests;
        }
        if clock::now() >= until {
            return OrderMode::CutRequests;
        }
    }
}

/// Stages all pieces; returns false when one could not be.
async fn stage(agent: &Agent, pieces: &Pieces) -> bool {
    agent.staged.set(None);
    for piece in 0..pieces.count() {
        if !stage_one(agent, pieces, piece).await {
            return false;
        }
    }
    true
}

async fn stage_one(agent: &Agent, pieces: &Pieces, piece: usize) -> bool {
    let Some(bytes) = pieces.get(piece) else {
        return false;
    };
    let result = agent.engine.stage_chunk(&pieces.model, piece, bytes).await;
    if let Err(error) = &result {
        log::warn!(
            event = "piece.unstaged",
            piece = piece,
            weights = pieces.version.0,
            error:% = error;
            "a piece could not be staged; it is tried again"
        );
    }
    result.is_ok()
}

/// Waits for this upstream's turn; returns false when another version takes its place.
async fn wait_for_turn(agent: &Agent, goal: &ModelGoal, version: VersionNumber) -> bool {
    let plan = SwitchPlan::default();
    loop {
        let now = clock::now();
        let replaced = agent
            .newest_fetched()
            .is_some_and(|newest| newest.version > version);
        if replaced || agent.staged.get() != Some(version) {
            return false;
        }
        // An engine that serves nothing is not interrupted by a switch.
        if agent.held(goal).is_none() {
            return true;
        }
        let turn = turn(agent, goal, version, &plan, now);
        let newer_soon = agent
            .newest_in_memory()
            .is_some_and(|newest| newest.version > version && newest.is_nearly_complete());
        let can_wait = agent
            .due_at(goal)
            .is_some_and(|due_at| plan.can_wait_for_newer(now, due_at));
        if now >= turn && !(newer_soon && can_wait) {
            return true;
        }
        let wait = turn.since(now).clamp(PAUSE, LOOK_INTERVAL);
        let _ = timeout(wait, agent.changed.notified()).await;
    }
}

/// Returns this upstream's turn to change to `version`.
fn turn(
    agent: &Agent,
    goal: &ModelGoal,
    version: VersionNumber,
    plan: &SwitchPlan,
    now: MonoMs,
) -> MonoMs {
    let catalog = agent.catalog.borrow();
    let own = agent.own_id();
    let timeline = catalog.timeline(&goal.model);
    let learnt_at = timeline.and_then(|timeline| timeline.learnt_at(version));
    let service = agent.settings.service.as_ref();
    let (Some(own), Some(learnt_at), Some(service)) = (own, learnt_at, service) else {
        return now;
    };
    let upstreams: Vec<UpstreamId> = catalog
        .directory
        .serving(service)
        .map(|upstream| upstream.id.clone())
        .collect();
    drop(catalog);
    let deadline = agent.due_at(goal);
    plan.switch_at(&own, &upstreams, version, learnt_at, deadline)
}

/// Reads the stage back and stages wrong pieces anew; returns false when some stay wrong.
async fn read_back(agent: &Agent, pieces: &Pieces) -> bool {
    for piece in 0..pieces.count() {
        let read = agent.engine.read_staged_chunk(&pieces.model, piece).await;
        if let Ok(Some(bytes)) = &read
            && pieces.matches(piece, bytes)
        {
            continue;
        }
        log::warn!(
            event = "stage.spoilt",
            piece = piece,
            weights = pieces.version.0;
            "a staged piece is missing or spoilt; it is staged again"
        );
        if !stage_one(agent, pieces, piece).await {
            agent.staged.set(None);
            return false;
        }
    }
    true
}

/// Orders the engine to load the stage; returns false when it is not known to load.
async fn order(agent: &Agent, goal: &ModelGoal, version: VersionNumber, mode: OrderMode) -> bool {
    let Some(orders) = agent.report.borrow().as_ref().map(|report| report.orders) else {
        return false;
    };
    let answer = agent
        .engine
        .load_staged(&goal.model, version, orders, mode)
        .await;
    let accepted = match &answer {
        Ok(answer) => matches!(answer, OrderAnswer::Accepted | OrderAnswer::InEffect),
        // The report shows whether the order was accepted.
        Err(_) => false,
    };
    log::info!(
        event = "order.sent",
        weights = version.0,
        orders = orders,
        mode:? = mode,
        answer:? = answer;
        "the engine was ordered to load the stage"
    );
    if accepted {
        agent.ordered.set(Some(version));
    }
    let _ = timeout(ORDER_SHOWN, agent.changed.notified()).await;
    accepted
}
