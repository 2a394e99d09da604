//! Polls the engine on this VM for its report, which is current and costs no priced
//! call.

use std::rc::Rc;
use std::time::Duration;

use masticdock_adapter::EngineReport;
use tokio::time::sleep;

use super::crashes;
use super::state::{Agent, load_id};
use crate::clock;

/// Interval between polls. It bounds the delay with which entries learn of a change.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

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
        log_invalid_slowness(previous.as_ref(), report.as_ref());
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
        if record_backlog(&agent, report.as_ref()) || previous != report {
            *agent.engine_report.borrow_mut() = report;
            agent.changed.notify_waiters();
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Records the requests at the engine; returns whether the number of unread prompts changed.
fn record_backlog(agent: &Agent, report: Option<&EngineReport>) -> bool {
    let mut backlog = agent.prefill_backlog.get();
    let mean_prefill_ms = agent.mean_prefill_ms();
    let previous = backlog.prompts(mean_prefill_ms);
    let requests = report.map_or(0, |report| report.running.saturating_add(report.queued));
    let slowness = report.and_then(|report| report.slowness?.ok());
    backlog.record(requests, mean_prefill_ms, slowness, clock::now());
    agent.prefill_backlog.set(backlog);
    backlog.prompts(mean_prefill_ms) != previous
}

/// Logs a slowness that is invalid, unless the previous report had one as well.
fn log_invalid_slowness(previous: Option<&EngineReport>, report: Option<&EngineReport>) {
    let invalid = |report: Option<&EngineReport>| report?.slowness?.err();
    let Some(error) = invalid(report) else {
        return;
    };
    if invalid(previous).is_none() {
        log::warn!(
            event = "slowness.invalid",
            upstream = "engine",
            error:% = error;
            "ignored the slowness that the engine tells; check its report"
        );
    }
}
