//! Load of one upstream as one entry believes it.

use crate::units::MonoMs;

use super::versions::VersionNumber;

/// State of an engine as the agent on its VM read it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AgentReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// Requests whose prompts are likely not read yet: those that wait and those
    /// that came since the agent's look before.
    pub pending_prefills: u32,
    /// Version whose layers are all held, if any.
    pub version: Option<VersionNumber>,
    /// True while the engine loads weights and accepts no request.
    pub switching: bool,
    /// False when the engine did not answer its agent.
    pub reachable: bool,
    /// Entries that the agent reports to.
    pub entries: u32,
    /// Time until the entry that is told begins to send, in milliseconds.
    pub start_delay_ms: u32,
    /// Delay of requests on the VM's link behind pieces of weights, in milliseconds.
    pub link_delay_ms: u32,
}

/// Shortest pause of an upstream after a failure, in milliseconds: a crashed
/// process needs some hundred to start again.
const PAUSE_MIN_MS: u64 = 250;
/// Longest pause after failures in a row, in milliseconds; bounds how long an
/// upstream that returned goes without requests.
const PAUSE_MAX_MS: u64 = 2_000;
/// Pause after a refusal of an upstream, in milliseconds: about one request
/// ends in that time in a full batch.
const REFUSAL_PAUSE_MS: u64 = 100;
/// Age at which a load report no longer counts, in milliseconds.
const REPORT_AGE_MAX_MS: u64 = 3_000;

/// Sends since a report from which nothing is concluded about other entries: one
/// happens by chance, more show that the upstream is the best one to send to.
const SENDS_BY_CHANCE: u32 = 1;
/// Requests up to which an upstream counts as empty; that it is the best one to
/// send to shows without any send.
const EMPTY_MAX: u32 = 2;

/// A report of an upstream's whole load, beside what was the entry's own part.
#[derive(Debug, Clone, Copy)]
struct Reported {
    total: u32,
    pending_prefills: u32,
    own: u32,
    own_pending_prefills: u32,
    at: MonoMs,
}

/// Weight of a new sample of slowness: some four samples carry a change.
const SLOWNESS_WEIGHT: f64 = 0.3;
/// Range of a sample of slowness; one outlier must not close an upstream.
const SLOWNESS_RANGE: (f64, f64) = (0.5, 4.0);
/// Time in which slowness fades to half without new samples, in milliseconds.
const SLOWNESS_HALF_MS: f64 = 400.0;

/// What one entry knows of the load and health of an upstream.
#[derive(Debug, Clone, Default)]
pub struct UpstreamLoad {
    /// Own requests that have not ended.
    pub in_flight: u32,
    /// Prompt tokens of own requests that have not produced their first event.
    pub pending_prefill_tokens: u64,
    /// Own requests that have not produced their first event.
    pub pending_prefills: u32,
    reported: Option<Reported>,
    /// Other entries that send requests there.
    other_entries: u32,
    /// Seen times to the first event over predicted ones, smoothed, and when
    /// the last one was seen.
    slowdown: Option<(f64, MonoMs)>,
    failures: u32,
    paused_until: MonoMs,
    last_activity_at: MonoMs,
    /// Smoothed time of a request, in milliseconds; 0 before the first.
    service_ms: f64,
}

impl Reported {
    /// Sends since the report from which nothing is concluded about other entries.
    const fn by_chance(self) -> u32 {
        if self.total <= EMPTY_MAX {
            0
        } else {
            SENDS_BY_CHANCE
        }
    }
}

impl UpstreamLoad {
    /// Counts a request sent with `prompt_tokens`.
    pub fn begin_request(&mut self, prompt_tokens: u64) {
        self.in_flight += 1;
        self.pending_prefills += 1;
        self.pending_prefill_tokens += prompt_tokens;
    }

    /// Notes the first event, or the end, of a request that had none yet.
    pub fn record_first_event(&mut self, prompt_tokens: u64) {
        self.pending_prefills = self.pending_prefills.saturating_sub(1);
        self.pending_prefill_tokens = self.pending_prefill_tokens.saturating_sub(prompt_tokens);
    }

    /// Counts the end of a request.
    pub fn end_request(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Takes over a report of the upstream's whole load: its requests, and how
    /// many of them have not had their prompt read.
    pub fn record_report(&mut self, total: u32, pending_prefills: u32, now: MonoMs) {
        self.reported = Some(Reported {
            total,
            pending_prefills,
            own: self.in_flight,
            own_pending_prefills: self.pending_prefills,
            at: now,
        });
    }

    /// Notes how many entries, this one included, send requests to the upstream.
    pub fn set_entry_count(&mut self, entries: u32) {
        self.other_entries = entries.saturating_sub(1);
    }

    /// Compares a seen time to the first event with the predicted one.
    pub fn record_latency(&mut self, first_ms: f64, predicted_ms: f64, now: MonoMs) {
        let (low, high) = SLOWNESS_RANGE;
        let sample = (first_ms / predicted_ms.max(1.0)).clamp(low, high);
        let slowdown = self.slowdown(now);
        let slowdown = slowdown + SLOWNESS_WEIGHT * (sample - slowdown);
        self.slowdown = Some((slowdown, now));
    }

    /// Returns the factor by which the upstream is slower than predicted.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn slowdown(&self, now: MonoMs) -> f64 {
        let Some((slowdown, at)) = self.slowdown else {
            return 1.0;
        };
        let fade = 0.5_f64.powf(now.since_ms(at) as f64 / SLOWNESS_HALF_MS);
        1.0 + (slowdown - 1.0) * fade
    }

    /// Returns the requests of other entries whose prompts are not read yet;
    /// `mean_prefill_ms` is the time in which the upstream reads one.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn others_pending_prefills(&self, mean_prefill_ms: f64, now: MonoMs) -> f64 {
        let Some(reported) = self.reported else {
            return 0.0;
        };
        let age_ms = now.since_ms(reported.at);
        if age_ms >= REPORT_AGE_MAX_MS {
            return 0.0;
        }
        let read_since = age_ms as f64 / mean_prefill_ms.max(1.0);
        let reported_unread = f64::from(
            reported
                .pending_prefills
                .saturating_sub(reported.own_pending_prefills),
        );
        let unseen = self
            .pending_prefills
            .saturating_sub(reported.own_pending_prefills + reported.by_chance());
        (reported_unread - read_since).max(0.0) + f64::from(self.other_entries * unseen)
    }

    /// Notes that the upstream sent something.
    pub fn record_activity(&mut self, now: MonoMs) {
        self.last_activity_at = now;
        self.failures = 0;
    }

    /// Returns when the upstream last sent something.
    #[must_use]
    pub const fn last_activity_at(&self) -> MonoMs {
        self.last_activity_at
    }

    /// Notes the time that a request of a plain service took.
    pub fn record_service_time(&mut self, took_ms: u64) {
        // An eighth of each sample follows a change within some ten requests.
        const WEIGHT: f64 = 0.125;
        #[allow(clippy::cast_precision_loss)]
        let took_ms = took_ms as f64;
        if self.service_ms <= 0.0 {
            self.service_ms = took_ms;
        }
        self.service_ms += WEIGHT * (took_ms - self.service_ms);
    }

    /// Returns the smoothed time of a request, in milliseconds; 0 when unknown.
    #[must_use]
    pub const fn service_ms(&self) -> f64 {
        self.service_ms
    }

    /// Pauses the upstream after a failed connection or a broken response.
    pub fn record_failure(&mut self, now: MonoMs) {
        let pause_ms = (PAUSE_MIN_MS << self.failures.min(4)).min(PAUSE_MAX_MS);
        self.failures += 1;
        self.paused_until = self.paused_until.max(now.plus_ms(pause_ms));
    }

    /// Pauses the upstream shortly after it refused a request unrun.
    pub fn record_rejection(&mut self, now: MonoMs) {
        self.paused_until = self.paused_until.max(now.plus_ms(REFUSAL_PAUSE_MS));
    }

    /// Ends the pause, because the upstream is known to be well.
    pub fn record_recovery(&mut self, now: MonoMs) {
        self.failures = 0;
        self.paused_until = self.paused_until.min(now);
    }

    /// Returns true while the upstream is not to be sent anything.
    #[must_use]
    pub fn is_backing_off(&self, now: MonoMs) -> bool {
        now < self.paused_until
    }

    /// Returns the requests at the upstream, those of other entries included. An
    /// upstream that looks good to one entry looks good to all, so the others are
    /// taken to have sent as many requests since its report as this one.
    #[must_use]
    pub fn total(&self, now: MonoMs) -> u32 {
        let others = match self.reported {
            Some(reported) if now.since_ms(reported.at) < REPORT_AGE_MAX_MS => {
                let unseen = self
                    .in_flight
                    .saturating_sub(reported.own + reported.by_chance());
                reported.total.saturating_sub(reported.own) + self.other_entries * unseen
            }
            _ => 0,
        };
        self.in_flight + others
    }
}
