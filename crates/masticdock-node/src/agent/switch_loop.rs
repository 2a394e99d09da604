//! Switches the engine to a fetched version: stages the chunks, waits for the switch
//! time of this upstream, verifies the stage, drains requests and orders the load.
//!
//! Weights that were loaded on old reads of the stage are checked first.

use std::rc::Rc;
use std::time::Duration;

use masticdock_adapter::{OrderAnswer, OrderMode};
use masticdock_core::ids::UpstreamId;
use masticdock_core::serving::{ModelTarget, StageRead, SwitchPlan, VersionNumber};
use masticdock_core::units::MonoMs;
use tokio::time::{sleep, timeout};

use super::load_check;
use super::stage::{repair_stage, stage_chunks};
use super::state::Agent;
use super::version_chunks::VersionChunks;
use crate::clock;

/// Maximum time between checks of the state when no change is notified.
const RECHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Delay before a failed step is retried.
const RETRY_BACKOFF: Duration = Duration::from_millis(150);
/// Timeout for an accepted order to show in the report of the engine.
pub(super) const ORDER_VISIBLE_TIMEOUT: Duration = Duration::from_millis(400);

/// Time between the announcement of a switch and the cut of the requests still in
/// flight, in milliseconds. Entries send no new requests in this time, and short
/// responses complete. Streams that are cut are resumed on another upstream, within the
/// longest pause that an objective allows.
const DRAIN_MS: u64 = 700;
/// Interval between checks of the requests in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time after a hello without resumable streams in which no request is cut, in
/// milliseconds.
const UNRESUMABLE_TTL_MS: u64 = 10_000;

/// Switches the engine to fetched versions; never returns.
pub(crate) async fn run(agent: Rc<Agent>) {
    loop {
        if load_check::take_step(&agent).await {
            continue;
        }
        let Some((target, chunks)) = version_to_load(&agent) else {
            let _ = timeout(RECHECK_INTERVAL, agent.changed.notified()).await;
            continue;
        };
        if !switch_engine(&agent, &target, &chunks).await {
            sleep(RETRY_BACKOFF).await;
        }
    }
}

/// Returns the newest version in memory if the engine neither holds nor is loading it.
fn version_to_load(agent: &Agent) -> Option<(ModelTarget, Rc<VersionChunks>)> {
    let target = agent.target_model()?;
    let busy = agent.engine_report.borrow().as_ref()?.busy;
    // Before the report shows an accepted order, it is unknown what is loaded.
    let (load, _) = agent.load_state()?;
    if agent.loaded_weights.borrow().is_outdated(load) {
        return None;
    }
    let chunks = agent.newest_fetched()?;
    if agent.loaded_version(&target) >= Some(chunks.version) {
        return None;
    }
    if busy && agent.ordered_version.get() == Some(chunks.version) {
        return None;
    }
    Some((target, chunks))
}

/// Takes the next steps towards the version of `chunks`; returns false if one failed.
async fn switch_engine(
    agent: &Rc<Agent>,
    target: &ModelTarget,
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
    let Some(read) = repair_stage(agent, chunks).await else {
        return false;
    };
    agent.switching.set(true);
    agent.changed.notify_waiters();
    let mode = drain(agent, target).await;
    let accepted = match reread_stage(agent, chunks, read).await {
        Some(read) => send_load_order(agent, target, chunks.version, mode, read.began_at).await,
        None => false,
    };
    agent.switching.set(false);
    agent.changed.notify_waiters();
    accepted
}

/// Reads the stage again if it was read too long ago for an order; returns `None` if a
/// corrupt chunk could not be staged.
async fn reread_stage(agent: &Agent, chunks: &VersionChunks, read: StageRead) -> Option<StageRead> {
    let is_old = agent
        .loaded_weights
        .borrow()
        .must_read_again(read, clock::now());
    if is_old {
        repair_stage(agent, chunks).await
    } else {
        Some(read)
    }
}

/// Waits for requests in flight to complete after the switch was announced, and decides
/// whether the engine cuts the remaining ones.
async fn drain(agent: &Agent, target: &ModelTarget) -> OrderMode {
    if !agent.serves(target) {
        return OrderMode::AfterRequests;
    }
    let now = clock::now();
    // Without entries, nobody resumes streams that are cut.
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
            .map_or(0, |report| report.running.saturating_add(report.queued));
        if remaining == 0 {
            return OrderMode::AfterRequests;
        }
        if clock::now() >= cut_at {
            return OrderMode::CutRequests;
        }
    }
}

/// Waits for the switch time of this upstream; returns false if another version
/// supersedes `version`.
async fn wait_for_switch_time(agent: &Agent, target: &ModelTarget, version: VersionNumber) -> bool {
    let plan = SwitchPlan::default();
    loop {
        let now = clock::now();
        let superseded = agent
            .newest_fetched()
            .is_some_and(|newest| newest.version > version);
        if superseded || agent.staged_version.get() != Some(version) {
            return false;
        }
        // An engine that serves nothing loses nothing by an immediate switch.
        if !agent.serves(target) {
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

/// Returns the time at which this upstream switches to `version`.
fn switch_time(
    agent: &Agent,
    target: &ModelTarget,
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
        .serving(service, clock::now())
        .map(|upstream| upstream.id.clone())
        .collect();
    drop(catalog);
    let deadline = agent.switch_deadline(target);
    plan.switch_at(&own, &upstreams, version, learnt_at, deadline)
}

/// Orders the engine to load the staged version; returns false unless the engine
/// confirms the order.
async fn send_load_order(
    agent: &Agent,
    target: &ModelTarget,
    version: VersionNumber,
    mode: OrderMode,
    read_at: MonoMs,
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
        Ok(OrderAnswer::Accepted) => {
            agent.record_accepted_order(orders, Some(read_at));
            true
        }
        Ok(answer) => *answer == OrderAnswer::InEffect,
        // The order may have been accepted; the next report of the engine shows it.
        Err(_) => {
            agent.loaded_weights.borrow_mut().record_unanswered();
            false
        }
    };
    log::info!(
        event = "order.sent",
        weights = version.0,
        orders = orders,
        mode:? = mode,
        read_age_ms = clock::now().since_ms(read_at),
        answer:? = answer;
        "ordered the engine to load the staged version"
    );
    if accepted {
        agent.ordered_version.set(Some(version));
    }
    let _ = timeout(ORDER_VISIBLE_TIMEOUT, agent.changed.notified()).await;
    accepted
}
