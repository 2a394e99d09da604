//! Polls the engine on this VM for its report, which is current and costs no priced
//! call.

use std::rc::Rc;
use std::time::Duration;

use masticdock_adapter::EngineReport;
use tokio::time::sleep;

use super::crashes;
use super::state::{Agent, load_id};

/// Interval between polls. It bounds the delay with which entries learn of a change.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Polls the engine; never returns.
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
        crashes::record_engine(&agent, report.as_ref());
        if let Some(report) = &report {
            let mut weights = agent.loaded_weights.borrow_mut();
            weights.record_report(load_id(report), report.busy);
        }
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
            // The staged chunks may belong to the previous engine process.
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
