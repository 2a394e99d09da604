//! Reads the engine's own report, which is fresh and free on its VM.

use std::rc::Rc;
use std::time::Duration;

use masticdock_adapter::EngineReport;
use tokio::time::sleep;

use super::state::Agent;

/// Time between two reads; entries learn a change at most this late.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Watches the engine for ever.
pub(crate) async fn run(agent: Rc<Agent>) {
    loop {
        let result = agent.engine.report().await;
        let previous = agent.engine_report.borrow().clone();
        let report = match result {
            Ok(report) => Some(report),
            Err(error) => {
                if previous.is_some() {
                    log::warn!(
                        event = "dependency.lost",
                        dependency = "engine",
                        error:% = error;
                        "the engine does not answer"
                    );
                }
                None
            }
        };
        if previous.is_none() && report.is_some() {
            log::info!(
                event = "dependency.regained",
                dependency = "engine",
                report:? = report;
                "the engine answers"
            );
        }
        let restarted = match (&previous, &report) {
            (Some(previous), Some(report)) => {
                previous.started_at_ms != report.started_at_ms || report.orders < previous.orders
            }
            (None, Some(_)) => true,
            _ => false,
        };
        if restarted {
            // What lies in the stage was perhaps put there for another engine.
            agent.staged_version.set(None);
            agent.ordered_version.set(None);
        }
        let running_requests =
            |report: &Option<EngineReport>| report.as_ref().map_or(0, |r| r.running);
        let new_requests = running_requests(&report).saturating_sub(running_requests(&previous));
        if agent.new_requests.replace(new_requests) != new_requests || previous != report {
            *agent.engine_report.borrow_mut() = report;
            agent.changed.notify_waiters();
        }
        sleep(POLL_INTERVAL).await;
    }
}
