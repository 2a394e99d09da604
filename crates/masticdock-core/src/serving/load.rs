//! Load and health of one upstream, as estimated by one entry.

use crate::units::MonoMs;

use super::placement::ASSUMED_SERVICE_MS;
use super::rate_limit::RateLimitShare;
use super::slowness::{Slowness, ToldSlowness};
use super::versions::VersionNumber;
use super::waits::RecentMaximum;

/// State of an engine, as read by the agent on its VM and reported to entries.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AgentReport {
    /// Requests that are running.
    pub running: u32,
    /// Requests that are waiting for a slot.
    pub queued: u32,
    /// Requests whose prefill is probably not done: those waiting for a slot and those
    /// that arrived since the agent's previous poll.
    pub pending_prefills: u32,
    /// Version of which the engine holds all layers, if any.
    pub version: Option<VersionNumber>,
    /// True while the engine loads weights and accepts no requests.
    pub switching: bool,
    /// False when the engine did not respond to its agent.
    pub reachable: bool,
    /// Number of entries that the agent reports to.
    pub entries: u32,
    /// Delay of requests behind chunks of weights on the VM's link, in milliseconds.
    pub link_delay_ms: u32,
    /// Start time of the engine's process, in milliseconds since the Unix epoch.
    pub started_at_ms: Option<u64>,
    /// Number of requests that the receiving entry may send until the next report;
    /// `None` while the agent does not know the engine's slots.
    pub places: Option<u32>,
    /// By how much work takes longer than usual on the engine's machine, if it tells that.
    pub slowness: Option<Slowness>,
}

impl AgentReport {
    /// Returns the report as it applies to the incarnation of an engine that started at
    /// `started_at_ms`. After a restart, the row of the former incarnation stays in the
    /// store for some seconds; it describes an engine that is gone, while the report
    /// comes from its successor at the same address.
    #[must_use]
    pub fn for_incarnation(self, started_at_ms: Option<u64>) -> Self {
        match (self.started_at_ms, started_at_ms) {
            (Some(reported), Some(listed)) if reported != listed => Self {
                reachable: false,
                version: None,
                ..self
            },
            _ => self,
        }
    }

    /// Returns whether the engine started or became reachable since an earlier report.
    #[must_use]
    pub fn follows_start(&self, earlier: &Self) -> bool {
        let is_later_process = self.started_at_ms.is_some()
            && earlier.started_at_ms.is_some()
            && self.started_at_ms != earlier.started_at_ms;
        self.reachable && (is_later_process || !earlier.reachable)
    }
}

/// Backoff after the first failure, in milliseconds: a crashed process needs a few
/// hundred to restart.
const BACKOFF_MIN_MS: u64 = 250;
/// Maximum backoff after consecutive failures, in milliseconds; bounds how long an
/// upstream that has recovered gets no requests.
const BACKOFF_MAX_MS: u64 = 2_000;
/// Backoff after the upstream rejected a request, in milliseconds: in a full batch
/// about one request ends in that time.
const REJECTION_BACKOFF_MS: u64 = 100;
/// Time without a byte from which an upstream counts as silent, in milliseconds.
const SILENCE_MIN_MS: u64 = 500;
/// Range of the time for which other upstreams are preferred to a silent one, in
/// milliseconds.
const SILENCE_AVOIDANCE_RANGE_MS: (u64, u64) = (1_000, 4_000);
/// Age from which a load report is stale, in milliseconds.
const REPORT_AGE_MAX_MS: u64 = 3_000;

/// Age up to which an agent's report counts instead of what answers tell, in milliseconds.
/// Under load an agent reports every 100 ms.
const AGENT_REPORT_PRECEDENCE_MS: u64 = 300;

/// Own sends since a report that are not extrapolated to the other entries: one may
/// be chance, more show that the upstream is the best choice for every entry.
const IGNORED_SENDS: u32 = 1;
/// Number of requests up to which an upstream counts as empty. An empty upstream is
/// the best choice for every entry, so all own sends are extrapolated.
const EMPTY_REQUESTS_MAX: u32 = 2;

/// Reported total load of an upstream, with this entry's share at that time.
#[derive(Debug, Clone, Copy)]
struct LoadReport {
    total: u32,
    pending_prefills: u32,
    own_in_flight: u32,
    own_pending_prefills: u32,
    received_at: MonoMs,
}

/// Weight of a new slowdown sample: about four samples reflect a change.
const SLOWDOWN_SAMPLE_WEIGHT: f64 = 0.3;
/// Range that slowdown samples are clamped to, so that a single outlier does not
/// exclude an upstream.
const SLOWDOWN_SAMPLE_RANGE: (f64, f64) = (0.5, 4.0);
/// Half-life of the slowdown without new samples, in milliseconds.
const SLOWDOWN_HALF_LIFE_MS: f64 = 400.0;

/// Weight of a new service time: about ten samples reflect a change.
const SERVICE_SAMPLE_WEIGHT: f64 = 0.125;
/// Half-life of the service time without new samples, in milliseconds.
const SERVICE_HALF_LIFE_MS: f64 = 1_000.0;

/// Load and health of an upstream, as known to one entry.
#[derive(Debug, Clone, Default)]
pub struct UpstreamLoad {
    /// Own requests in flight.
    pub in_flight: u32,
    /// Prompt tokens of own requests without a first event.
    pub pending_prefill_tokens: u64,
    /// Own requests without a first event.
    pub pending_prefills: u32,
    report: Option<LoadReport>,
    /// Number of other entries that send requests to the upstream.
    other_entries: u32,
    /// Number of requests that this entry may still send until the next report, and when
    /// its agent granted them.
    places: Option<(u32, MonoMs)>,
    /// Limit that the upstream names in its answers.
    pub rate_limit: RateLimitShare,
    /// Slowness that the upstream or its agent told.
    pub told_slowness: ToldSlowness,
    /// Smoothed ratio of observed to predicted times to the first event, and when it
    /// was last updated.
    slowdown: Option<(f64, MonoMs)>,
    /// Parts of recent waits that the engine does not explain, in milliseconds.
    excess_waits_ms: RecentMaximum,
    consecutive_failures: u32,
    backoff_until: MonoMs,
    last_activity_at: MonoMs,
    /// Time until which other upstreams are preferred, since this one sent nothing.
    silent_until: MonoMs,
    /// Time until which other upstreams are preferred, since this one did not answer a
    /// request although it sent data for others.
    unresponsive_until: MonoMs,
    /// Smoothed service time, in milliseconds, and when it was last updated.
    service: Option<(f64, MonoMs)>,
}

impl LoadReport {
    /// Returns the number of own sends since the report that are not extrapolated to
    /// the other entries.
    const fn ignored_sends(self) -> u32 {
        if self.total <= EMPTY_REQUESTS_MAX {
            0
        } else {
            IGNORED_SENDS
        }
    }
}

impl UpstreamLoad {
    /// Counts a request sent with a prompt of `prompt_tokens`.
    pub fn begin_request(&mut self, prompt_tokens: u64) {
        self.in_flight += 1;
        if let Some((places, _)) = &mut self.places {
            *places = places.saturating_sub(1);
        }
        self.pending_prefills += 1;
        self.pending_prefill_tokens = self.pending_prefill_tokens.saturating_add(prompt_tokens);
    }

    /// Records the first event of a request, or its end without an event.
    pub fn record_first_event(&mut self, prompt_tokens: u64) {
        self.pending_prefills = self.pending_prefills.saturating_sub(1);
        self.pending_prefill_tokens = self.pending_prefill_tokens.saturating_sub(prompt_tokens);
    }

    /// Records the end of a request.
    pub fn end_request(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records the reported load of the upstream: its requests, and those among them
    /// with a pending prefill.
    pub fn record_report(&mut self, total: u32, pending_prefills: u32, now: MonoMs) {
        self.report = Some(LoadReport {
            total,
            pending_prefills,
            own_in_flight: self.in_flight,
            own_pending_prefills: self.pending_prefills,
            received_at: now,
        });
    }

    /// Records the load that an answer tells. It does not show which prompts are unread, so
    /// a recent report of an agent counts instead.
    pub fn record_answer_load(&mut self, running: u32, waiting: u32, now: MonoMs) {
        let is_reported = self.report.is_some_and(|report| {
            self.has_place(now).is_some()
                && now.since_ms(report.received_at) < AGENT_REPORT_PRECEDENCE_MS
        });
        if !is_reported {
            self.record_report(running.saturating_add(waiting), waiting, now);
        }
    }

    /// Sets the number of entries, including this one, that send requests to the
    /// upstream.
    pub fn set_entry_count(&mut self, entries: u32) {
        self.other_entries = entries.saturating_sub(1);
    }

    /// Replaces the places that the upstream's agent granted to this entry.
    pub fn set_places(&mut self, places: Option<u32>, now: MonoMs) {
        self.places = places.map(|places| (places, now));
    }

    /// Returns true if the upstream's agent grants this entry a place; `None` if no agent
    /// divides the places of the upstream.
    #[must_use]
    pub fn has_place(&self, now: MonoMs) -> Option<bool> {
        let (places, granted_at) = self.places?;
        (now.since_ms(granted_at) < REPORT_AGE_MAX_MS).then_some(places > 0)
    }

    /// Returns the number of other entries that may have sent requests which no report
    /// shows yet. An agent that divides the places excludes them.
    fn unseen_entries(&self, now: MonoMs) -> u32 {
        if self.has_place(now).is_some() {
            return 0;
        }
        self.other_entries
    }

    /// Updates the slowdown with an observed time to the first event.
    pub fn record_latency(&mut self, first_event_ms: f64, predicted_ms: f64, now: MonoMs) {
        let (low, high) = SLOWDOWN_SAMPLE_RANGE;
        let sample = (first_event_ms / predicted_ms.max(1.0)).clamp(low, high);
        let slowdown = self.observed_slowdown(now);
        let slowdown = slowdown + SLOWDOWN_SAMPLE_WEIGHT * (sample - slowdown);
        self.slowdown = Some((slowdown, now));
    }

    /// Returns the factor by which the upstream is slower than predicted: the greater of
    /// what it tells and what was observed.
    #[must_use]
    pub fn slowdown(&self, now: MonoMs) -> f64 {
        let observed = self.observed_slowdown(now);
        self.told_slowness
            .factor(now)
            .map_or(observed, |told| told.max(observed))
    }

    /// Returns the observed slowdown; decays to 1.
    #[allow(clippy::cast_precision_loss)]
    fn observed_slowdown(&self, now: MonoMs) -> f64 {
        let Some((slowdown, at)) = self.slowdown else {
            return 1.0;
        };
        let decay = 0.5_f64.powf(now.since_ms(at) as f64 / SLOWDOWN_HALF_LIFE_MS);
        1.0 + (slowdown - 1.0) * decay
    }

    /// Records how long a request waited for its first byte, its first event or the end
    /// of an attempt without either. The `engine_ms` that the request was predicted to
    /// spend at the engine do not count: a long prompt or a queue there says nothing about
    /// the time on the way.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn record_wait(&mut self, waited_ms: f64, engine_ms: f64, now: MonoMs) {
        let excess_ms = (waited_ms - engine_ms).max(0.0);
        self.excess_waits_ms.record(excess_ms as u64, now);
    }

    /// Returns by how much the longest wait of the last seconds exceeded the predicted time
    /// at the engine, in milliseconds.
    #[must_use]
    pub fn longest_excess_wait_ms(&self, now: MonoMs) -> u64 {
        self.excess_waits_ms.get(now)
    }

    /// Returns the estimated number of pending prefills of other entries;
    /// `mean_prefill_ms` is the time that the upstream takes for one.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn others_pending_prefills(&self, mean_prefill_ms: f64, now: MonoMs) -> f64 {
        let Some(report) = self.report else {
            return 0.0;
        };
        let age_ms = now.since_ms(report.received_at);
        if age_ms >= REPORT_AGE_MAX_MS {
            return 0.0;
        }
        let prefilled_since_report = age_ms as f64 / mean_prefill_ms.max(1.0);
        let reported_pending = f64::from(
            report
                .pending_prefills
                .saturating_sub(report.own_pending_prefills),
        );
        let sent_since_report = self
            .pending_prefills
            .saturating_sub(report.own_pending_prefills + report.ignored_sends());
        (reported_pending - prefilled_since_report).max(0.0)
            + f64::from(self.unseen_entries(now).saturating_mul(sent_since_report))
    }

    /// Records that the upstream sent data.
    pub fn record_activity(&mut self, now: MonoMs) {
        self.last_activity_at = now;
        self.consecutive_failures = 0;
        self.silent_until = MonoMs(0);
    }

    /// Records that a request has waited for `waited_ms` without a byte. If the upstream sent
    /// none on other connections either, it is avoided for as long as it has been silent, or
    /// until it sends any.
    pub fn record_silence(&mut self, waited_ms: u64, now: MonoMs) {
        if waited_ms < SILENCE_MIN_MS {
            return;
        }
        let (min_ms, max_ms) = SILENCE_AVOIDANCE_RANGE_MS;
        let silent_ms = now.since_ms(self.last_activity_at);
        if silent_ms < SILENCE_MIN_MS {
            self.unresponsive_until = now.plus_ms(min_ms);
            return;
        }
        self.silent_until = now.plus_ms(silent_ms.clamp(min_ms, max_ms));
    }

    /// Returns true while other upstreams are preferred because this one is silent.
    #[must_use]
    pub fn is_silent(&self, now: MonoMs) -> bool {
        now < self.silent_until.max(self.unresponsive_until)
    }

    /// Returns when the upstream last sent data.
    #[must_use]
    pub const fn last_activity_at(&self) -> MonoMs {
        self.last_activity_at
    }

    /// Updates the smoothed service time with a completed request.
    pub fn record_service_time(&mut self, service_time_ms: u64, now: MonoMs) {
        #[allow(clippy::cast_precision_loss)]
        let sample_ms = service_time_ms as f64;
        let service_ms = if self.service.is_some() {
            self.service_ms(now)
        } else {
            sample_ms
        };
        let service_ms = service_ms + SERVICE_SAMPLE_WEIGHT * (sample_ms - service_ms);
        self.service = Some((service_ms, now));
    }

    /// Returns the smoothed service time, in milliseconds; 0 when unknown. A longer one than
    /// assumed decays, so that an upstream which was slow is tried again although it got no
    /// requests since.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn service_ms(&self, now: MonoMs) -> f64 {
        let Some((service_ms, at)) = self.service else {
            return 0.0;
        };
        let decay = 0.5_f64.powf(now.since_ms(at) as f64 / SERVICE_HALF_LIFE_MS);
        let excess_ms = (service_ms - ASSUMED_SERVICE_MS).max(0.0);
        service_ms - excess_ms * (1.0 - decay)
    }

    /// Backs off exponentially after a failed connection or a broken response.
    pub fn record_error(&mut self, now: MonoMs) {
        let backoff_ms = (BACKOFF_MIN_MS << self.consecutive_failures.min(4)).min(BACKOFF_MAX_MS);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.backoff_until = self.backoff_until.max(now.plus_ms(backoff_ms));
    }

    /// Backs off briefly after the upstream rejected a request without running it.
    pub fn record_rejection(&mut self, now: MonoMs) {
        self.backoff_until = self.backoff_until.max(now.plus_ms(REJECTION_BACKOFF_MS));
    }

    /// Ends the backoff of an upstream that is known to be healthy.
    pub fn record_recovery(&mut self, now: MonoMs) {
        self.consecutive_failures = 0;
        self.backoff_until = self.backoff_until.min(now);
        self.silent_until = MonoMs(0);
    }

    /// Returns true while no requests are sent to the upstream.
    #[must_use]
    pub fn is_backing_off(&self, now: MonoMs) -> bool {
        now < self.backoff_until
    }

    /// Returns the estimated number of requests at the upstream, including those of
    /// other entries. An upstream that is the best choice for one entry is so for all,
    /// so each other entry is assumed to have sent as many requests since the last
    /// report as this one.
    #[must_use]
    pub fn total(&self, now: MonoMs) -> u32 {
        let others = match self.report {
            Some(report) if now.since_ms(report.received_at) < REPORT_AGE_MAX_MS => {
                let sent_since_report = self
                    .in_flight
                    .saturating_sub(report.own_in_flight + report.ignored_sends());
                let sent_by_others = self.unseen_entries(now).saturating_mul(sent_since_report);
                let reported = report.total.saturating_sub(report.own_in_flight);
                reported.saturating_add(sent_by_others)
            }
            _ => 0,
        };
        self.in_flight.saturating_add(others)
    }
}
