//! Brings the engine to a fetched version: stage, read back, wait for the turn, order.

use std::rc::Rc;
use std::time::Duration;

use masticdock_adapter::{OrderAnswer, OrderMode};
use masticdock_core::ids::UpstreamId;
use masticdock_core::serving::{SwitchPlan, VersionNumber};
use masticdock_core::units::MonoMs;
use tokio::time::{sleep, timeout};

use super::state::{Agent, TargetModel};
use super::version_chunks::VersionChunks;
use crate::clock;

/// Longest wait for a change before the state is looked at again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after a step that failed.
const RETRY_BACKOFF: Duration = Duration::from_millis(150);
/// Time for the engine to show an accepted order in its report.
const ORDER_VISIBLE_TIMEOUT: Duration = Duration::from_millis(400);

/// Time between the announcement of a switch and the cut of the requests that
/// still run, in milliseconds. Entries send nothing new meanwhile; short
/// answers end, and cut streams are resumed elsewhere within the longest pause
/// of an objective.
const DRAIN_MS: u64 = 700;
/// Time between two looks at the requests that run.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a stream that cannot be resumed forbids cuts, in milliseconds.
const UNRESUMABLE_TTL_MS: u64 = 10_000;

/// Brings the engine to fetched versions for ever.
pub(crate) async fn run(agent: Rc<Agent>) {
    loop {
        let Some((target, chunks)) = version_to_load(&agent) else {
            let _ = timeout(RECHECK_INTERVAL, agent.changed.notified()).await;
            continue;
        };
        if !switch_engine(&agent, &target, &chunks).await {
            sleep(RETRY_BACKOFF).await;
        }
    }
}

/// Returns the newest version in memory that the engine lacks and is not loading.
fn version_to_load(agent: &Agent) -> Option<(TargetModel, Rc<VersionChunks>)> {
    let target = agent.target_model()?;
    let busy = agent.engine_report.borrow().as_ref()?.busy;
    let chunks = agent.newest_fetched()?;
    if agent.loaded_version(&target) >= Some(chunks.version) {
        return None;
    }
    if busy && agent.ordered_version.get() == Some(chunks.version) {
        return None;
    }
    Some((target, chunks))
}

/// Takes the next step towards the version of `pieces`; returns false when it failed.
async fn switch_engine(
    agent: &Rc<Agent>,
    target: &TargetModel,
    chunks: &Rc<VersionChunks>,
) -> bool {
    if agent.staged_version.get() != Some(chunks.version) {
        if !stage_chunks(agent, chunks).await {
            return false;
        }
        agent.staged_version.set(Some(chunks.version));
    }
    if !wait_for_switch_time(agent, target, chunks.version).await {
        return true;
    }
    if !repair_stage(agent, chunks).await {
        return false;
    }
    agent.switching.set(true);
    agent.changed.notify_waiters();
    let mode = drain(agent, target).await;
    let accepted = send_load_order(agent, target, chunks.version, mode).await;
    agent.switching.set(false);
    agent.changed.notify_waiters();
    accepted
}

/// Waits for requests to end after the switch was announced, and decides what
/// becomes of the rest.
async fn drain(agent: &Agent, target: &TargetModel) -> OrderMode {
    if agent.loaded_version(target).is_none() {
        return OrderMode::AfterRequests;
    }
    let now = clock::now();
    // Without entries nobody resumes streams.
    let resumable = now.since_ms(agent.unresumable_at.get()) > UNRESUMABLE_TTL_MS;
    if !agent.has_recent_hello(now) || !resumable {
        return OrderMode::AfterRequests;
    }
    let cut_at = now.plus_ms(DRAIN_MS);
    loop {
        sleep(DRAIN_POLL_INTERVAL).await;
        let report = agent.engine_report.borrow();
        let remaining = report
            .as_ref()
            .map_or(0, |report| report.running + report.queued);
        if remaining == 0 {
            return OrderMode::AfterRequests;
        }
        if clock::now() >= cut_at {
            return OrderMode::CutRequests;
        }
    }
}

/// Stages all pieces; returns false when one could not be.
async fn stage_chunks(agent: &Agent, chunks: &VersionChunks) -> bool {
    agent.staged_version.set(None);
    for chunk_index in 0..chunks.count() {
        if !stage_one_chunk(agent, chunks, chunk_index).await {
            return false;
        }
    }
    true
}

async fn stage_one_chunk(agent: &Agent, chunks: &VersionChunks, chunk_index: usize) -> bool {
    let Some(bytes) = chunks.get(chunk_index) else {
        return false;
    };
    let result = agent
        .engine
        .stage_chunk(&chunks.model, chunk_index, bytes)
        .await;
    if let Err(error) = &result {
        log::warn!(
            event = "piece.unstaged",
            piece = chunk_index,
            weights = chunks.version.0,
            error:% = error;
            "a piece could not be staged; it is tried again"
        );
    }
    result.is_ok()
}

/// Waits for this upstream's turn; returns false when another version takes its place.
async fn wait_for_switch_time(agent: &Agent, target: &TargetModel, version: VersionNumber) -> bool {
    let plan = SwitchPlan::default();
    loop {
        let now = clock::now();
        let superseded = agent
            .newest_fetched()
            .is_some_and(|newest| newest.version > version);
        if superseded || agent.staged_version.get() != Some(version) {
            return false;
        }
        // An engine that serves nothing is not interrupted by a switch.
        if agent.loaded_version(target).is_none() {
            return true;
        }
        let switch_time = switch_time(agent, target, version, &plan, now);
        let newer_nearly_complete = agent
            .newest_in_memory()
            .is_some_and(|newest| newest.version > version && newest.is_nearly_complete());
        let can_wait = agent
            .switch_deadline(target)
            .is_some_and(|switch_deadline| plan.can_wait_for_newer(now, switch_deadline));
        if now >= switch_time && !(newer_nearly_complete && can_wait) {
            return true;
        }
        let wait = switch_time
            .since(now)
            .clamp(RETRY_BACKOFF, RECHECK_INTERVAL);
        let _ = timeout(wait, agent.changed.notified()).await;
    }
}

/// Returns this upstream's turn to change to `version`.
fn switch_time(
    agent: &Agent,
    target: &TargetModel,
    version: VersionNumber,
    plan: &SwitchPlan,
    now: MonoMs,
) -> MonoMs {
    let catalog = agent.catalog.borrow();
    let own = agent.own_upstream_id();
    let timeline = catalog.timeline(&target.model);
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
    let deadline = agent.switch_deadline(target);
    plan.switch_at(&own, &upstreams, version, learnt_at, deadline)
}

/// Reads the stage back and stages wrong pieces anew; returns false when some stay wrong.
async fn repair_stage(agent: &Agent, chunks: &VersionChunks) -> bool {
    for chunk_index in 0..chunks.count() {
        let read = agent
            .engine
            .read_staged_chunk(&chunks.model, chunk_index)
            .await;
        if let Ok(Some(bytes)) = &read
            && chunks.matches(chunk_index, bytes)
        {
            continue;
        }
        log::warn!(
            event = "stage.spoilt",
            piece = chunk_index,
            weights = chunks.version.0;
            "a staged piece is missing or spoilt; it is staged again"
        );
        if !stage_one_chunk(agent, chunks, chunk_index).await {
            agent.staged_version.set(None);
            return false;
        }
    }
    true
}

/// Orders the engine to load the stage; returns false when it is not known to load.
async fn send_load_order(
    agent: &Agent,
    target: &TargetModel,
    version: VersionNumber,
    mode: OrderMode,
) -> bool {
    let Some(orders) = agent
        .engine_report
        .borrow()
        .as_ref()
        .map(|report| report.orders)
    else {
        return false;
    };
    let answer = agent
        .engine
        .load_staged(&target.model, version, orders, mode)
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
        agent.ordered_version.set(Some(version));
    }
    let _ = timeout(ORDER_VISIBLE_TIMEOUT, agent.changed.notified()).await;
    accepted
}
