//! Checks weights that the engine has taken on old reads of the stage, and unloads corrupt
//! ones. An engine with unchecked weights gets no requests meanwhile.

use std::rc::Rc;

use masticdock_adapter::OrderAnswer;
use masticdock_core::serving::{LoadId, LoadState, ModelTarget, VersionNumber};
use tokio::time::timeout;

use super::fetch_loop::read_manifest;
use super::stage::is_stage_intact;
use super::state::Agent;
use super::switch_loop::ORDER_VISIBLE_TIMEOUT;
use super::version_chunks::VersionChunks;

/// Loaded weights that are not known to be intact.
struct DueCheck {
    target: ModelTarget,
    version: VersionNumber,
    load: LoadId,
    state: LoadState,
}

/// Takes the next step of a check that is due; returns false if there is none or it failed.
pub(super) async fn take_step(agent: &Rc<Agent>) -> bool {
    let Some(due) = due_check(agent) else {
        return false;
    };
    if due.state == LoadState::Corrupt {
        return unload(agent, &due).await;
    }
    let Some(intact) = check(agent, &due).await else {
        return false;
    };
    agent
        .loaded_weights
        .borrow_mut()
        .record_check(due.load, intact);
    log::info!(
        event = "weights.checked",
        weights = due.version.0,
        orders = due.load.orders,
        state:? = due.state,
        intact = intact;
        "read the staged chunks of the loaded weights again"
    );
    agent.changed.notify_waiters();
    true
}

fn due_check(agent: &Agent) -> Option<DueCheck> {
    let target = agent.target_model()?;
    let version = agent.loaded_version(&target)?;
    let (load, state) = agent.load_state()?;
    let busy = agent.engine_report.borrow().as_ref()?.busy;
    // An accepted order has replaced what the report shows.
    if agent.loaded_weights.borrow().is_outdated(load) {
        return None;
    }
    let is_due = match state {
        LoadState::Intact => false,
        // The newest version replaces an older one anyway.
        LoadState::Inherited => version == agent.newest_declared(&target),
        LoadState::Unchecked | LoadState::Corrupt => true,
    };
    (is_due && !busy).then_some(DueCheck {
        target,
        version,
        load,
        state,
    })
}

/// Returns whether the staged chunks are those of the loaded version, if that can be told.
async fn check(agent: &Rc<Agent>, due: &DueCheck) -> Option<bool> {
    let manifest = match agent.manifest_of(due.version) {
        Some(manifest) => manifest,
        None => read_manifest(agent, &due.target, due.version)
            .await
            .ok()
            .flatten()?,
    };
    let chunks = VersionChunks::new(due.target.model.clone(), due.version, manifest);
    is_stage_intact(agent, &chunks).await
}

/// Unloads corrupt weights, so that the engine can load the same version again; returns false
/// unless the engine confirms that.
async fn unload(agent: &Agent, due: &DueCheck) -> bool {
    let answer = agent
        .engine
        .unload(&due.target.model, due.version, due.load.orders)
        .await;
    log::warn!(
        event = "weights.unloaded",
        weights = due.version.0,
        orders = due.load.orders,
        answer:? = answer;
        "ordered the engine to drop corrupt weights"
    );
    if !matches!(answer, Ok(OrderAnswer::Accepted)) {
        return false;
    }
    agent.record_accepted_order(due.load.orders, None);
    let _ = timeout(ORDER_VISIBLE_TIMEOUT, agent.changed.notified()).await;
    true
}
