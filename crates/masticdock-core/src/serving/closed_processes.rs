//! Processes of upstreams that asked this entry in an answer to send nothing more, for good or
//! for a while.
//!
//! Failure: an upstream leaves, and the store that has its row is out of reach or still says
//! that it is ready. Its answers are the first to tell; what is sent there later ends with the
//! process. What an answer said holds until the row names another process.
//!
//! Load pattern: an upstream in trouble rejects everything and names the time for which it wants
//! nothing. Entries that come back after their usual short backoff keep it in trouble, and those
//! that come back at the same moment bring it back there.

use std::collections::BTreeMap;

use crate::ids::UpstreamId;
use crate::units::MonoMs;

use super::directory::Upstream;
use super::eligibility::Ineligible;

/// Longest pause that an answer can ask for, in milliseconds. It also stands in for a value that
/// cannot be read.
pub const PAUSE_MAX_MS: u64 = 30_000;
/// Time over which the returns of entries after a pause are spread, in milliseconds.
const RETURN_SPREAD_MS: f64 = 500.0;
/// Time for which a process is remembered after its last such answer, in milliseconds.
const KEPT_MS: u64 = 600_000;

/// Processes that are closed for this entry.
#[derive(Debug, Clone, Default)]
pub struct ClosedProcesses {
    /// Latest known process under each id.
    processes: BTreeMap<UpstreamId, ClosedProcess>,
}

#[derive(Debug, Clone, Copy)]
struct ClosedProcess {
    started_at_ms: Option<u64>,
    is_leaving: bool,
    paused_until: MonoMs,
    answered_at: MonoMs,
}

impl ClosedProcesses {
    /// Records an answer in which an upstream says that it leaves. Returns true if none of its
    /// answers said so before.
    pub fn record_leaving(&mut self, upstream: &Upstream, now: MonoMs) -> bool {
        let Some(process) = self.process_mut(upstream, now) else {
            return false;
        };
        !std::mem::replace(&mut process.is_leaving, true)
    }

    /// Records an answer in which an upstream asks for a pause, of `None` if the time cannot be
    /// read; `draw` is a random number in 0..1. Returns when requests may be sent again.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn record_pause(
        &mut self,
        upstream: &Upstream,
        pause_ms: Option<u64>,
        now: MonoMs,
        draw: f64,
    ) -> MonoMs {
        let Some(process) = self.process_mut(upstream, now) else {
            return now;
        };
        let pause_ms = pause_ms.unwrap_or(PAUSE_MAX_MS).min(PAUSE_MAX_MS);
        if pause_ms > 0 {
            let until = now.plus_ms(pause_ms + (RETURN_SPREAD_MS * draw) as u64);
            process.paused_until = process.paused_until.max(until);
        }
        process.paused_until
    }

    /// Checks whether an upstream may get a request.
    ///
    /// # Errors
    ///
    /// Returns the reason if it may not.
    pub fn check(&self, upstream: &Upstream, now: MonoMs) -> Result<(), Ineligible> {
        let Some(process) = self.processes.get(&upstream.id) else {
            return Ok(());
        };
        if process.started_at_ms != upstream.started_at_ms {
            return Ok(());
        }
        if process.is_leaving {
            return Err(Ineligible::Leaving);
        }
        if now < process.paused_until {
            return Err(Ineligible::Paused(process.paused_until));
        }
        Ok(())
    }

    /// Forgets processes whose last such answer is long past.
    pub fn expire(&mut self, now: MonoMs) {
        self.processes
            .retain(|_, process| now.since_ms(process.answered_at) < KEPT_MS);
    }

    /// Returns the record of the process that answered, unless a later one is known.
    fn process_mut(&mut self, upstream: &Upstream, now: MonoMs) -> Option<&mut ClosedProcess> {
        let started_at_ms = upstream.started_at_ms;
        let new = ClosedProcess {
            started_at_ms,
            is_leaving: false,
            paused_until: MonoMs(0),
            answered_at: now,
        };
        let process = self.processes.entry(upstream.id.clone()).or_insert(new);
        if process.started_at_ms > started_at_ms {
            return None;
        }
        if process.started_at_ms != started_at_ms {
            *process = new;
        }
        process.answered_at = now;
        Some(process)
    }
}
