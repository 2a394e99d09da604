//! Order in which requests of several priorities get the room of one service.
//!
//! Load pattern: a burst of one kind of request, or the loss of upstreams, leaves less
//! room than all callers of a service ask for. Each place that becomes free goes to
//! whoever asks next, so a request that may wait takes it, and an urgent one that arrives
//! a moment later is rejected. A request without a place therefore waits for one as long
//! as it can still meet its objective. Places go to the most urgent waiting request, and
//! among equals to the one that has to start first, which accounts for its objective and
//! for the time that its prompt takes. A request that can no longer meet its objective is
//! rejected at once.
//!
//! Load pattern: urgent requests alone ask for more than all of the room, for longer than
//! the others can wait. Each kind of request, by its priority and that of its route,
//! therefore keeps a minimum share of what it asks for:
//! one that got less lately ranks like the most urgent until it has caught up.
//!
//! Load pattern: no upstream is usable for seconds, as between two versions of the weights.
//! A caller who was told to return finds the same and would be rejected for good, so a
//! returning request waits for an upstream while its caller still waits for a first event.
//!
//! Each entry decides by itself, from the requests that it receives.

use std::collections::BTreeMap;

use crate::units::MonoMs;

use super::configuration::EngineProfile;

/// Limits of the queue for one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionSettings {
    /// Share of its requests that each kind gets admitted before more urgent ones
    /// take precedence.
    pub share_min: f64,
    /// Number of recent requests of a kind from which its share is known.
    pub share_requests_min: f64,
    /// Time constant of the shares, in milliseconds.
    pub time_constant_ms: u64,
    /// Maximum number of waiting requests of one kind.
    pub waiting_max: usize,
    /// Maximum size of the bodies of all waiting requests of one kind, in bytes.
    pub waiting_bytes_max: usize,
    /// Time for which the service counts as short of room after a request had to wait, in
    /// milliseconds.
    pub shortage_ms: u64,
}

impl Default for AdmissionSettings {
    /// Returns limits under which half of the callers of each kind are served, and for
    /// prompts of a few hundred kilobytes at most.
    fn default() -> Self {
        Self {
            share_min: 0.5,
            share_requests_min: 4.0,
            time_constant_ms: 2_000,
            waiting_max: 64,
            waiting_bytes_max: 4 << 20,
            shortage_ms: 1_000,
        }
    }
}

/// Time that a returning request may wait, in milliseconds: callers abandon a request of
/// which nothing comes for two seconds, and one that is sent at last needs the rest.
const RETURNING_WAIT_MS: f64 = 1_000.0;

/// What decides how long a request may wait.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestTimes {
    /// When the request arrived.
    pub arrived_at: MonoMs,
    /// When its response is due.
    pub due_at: MonoMs,
    /// Latency objective, in milliseconds.
    pub objective_ms: u64,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// True if its caller was rejected before.
    pub returning: bool,
}

impl RequestTimes {
    /// Returns when the request has to be sent at the latest to meet `objective_share` of
    /// its objective at an idle upstream. A returning request, which is late already, may
    /// wait while its caller still waits for a first event.
    #[must_use]
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    pub fn start_by(&self, engine: Option<&EngineProfile>, objective_share: f64) -> MonoMs {
        let idle_ms = engine.map_or(0.0, |engine| {
            engine.prefill_ms(self.prompt_tokens as f64) + 1.5 * engine.pass_ms(0)
        });
        let wait_ms = if self.returning {
            RETURNING_WAIT_MS
        } else {
            self.objective_ms as f64 * objective_share - idle_ms
        };
        let start_by = self.arrived_at.plus_ms(wait_ms.max(0.0) as u64);
        let idle_ms = idle_ms as u64;
        start_by.min(MonoMs(self.due_at.0.saturating_sub(idle_ms)))
    }
}

/// How urgent a request is; the lowest goes first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Urgency {
    /// Priority of the request: that of its workspace, if it has one, or of its route.
    pub priority: u8,
    /// Priority of its route, which orders the requests of one workspace.
    pub route_priority: u8,
}

/// A request that asks for room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// How urgent it is.
    pub urgency: Urgency,
    /// True if its caller was rejected before.
    pub returning: bool,
    /// Time until which it may wait.
    pub start_by: MonoMs,
    /// Size of its body, in bytes.
    pub body_bytes: usize,
}

/// Identifies a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AdmissionTicket(u64);

/// Order of the requests: the lowest goes first.
type Rank = (Urgency, bool, MonoMs, AdmissionTicket);

/// Recent requests of one kind.
#[derive(Debug, Clone, Copy, Default)]
struct RecentRequests {
    decided: f64,
    admitted: f64,
    updated_at: MonoMs,
}

/// Requests that wait for room at the upstreams of one service.
#[derive(Debug, Clone)]
pub struct AdmissionQueue {
    settings: AdmissionSettings,
    waiting: BTreeMap<AdmissionTicket, AdmissionRequest>,
    recent: BTreeMap<Urgency, RecentRequests>,
    next_ticket: AdmissionTicket,
    /// When a request had to wait last.
    short_at: Option<MonoMs>,
}

impl AdmissionQueue {
    /// Creates an empty queue.
    #[must_use]
    pub const fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            waiting: BTreeMap::new(),
            recent: BTreeMap::new(),
            next_ticket: AdmissionTicket(0),
            short_at: None,
        }
    }

    /// Returns true if a request that arrives now goes before all that wait.
    #[must_use]
    pub fn is_first(&self, request: &AdmissionRequest, now: MonoMs) -> bool {
        let behind = self.kinds_behind(now);
        let rank = rank(&behind, self.next_ticket, request);
        let mut waiting = self.waiting.iter();
        waiting.all(|(ticket, other)| rank < self::rank(&behind, *ticket, other))
    }

    /// Adds a request that found no room; `None` if it cannot wait.
    pub fn join(&mut self, request: AdmissionRequest, now: MonoMs) -> Option<AdmissionTicket> {
        self.short_at = Some(now);
        if request.start_by <= now {
            return None;
        }
        let mut count = 0;
        let mut bytes = request.body_bytes;
        for other in self.waiting.values() {
            if other.urgency != request.urgency {
                continue;
            }
            count += 1;
            bytes = bytes.saturating_add(other.body_bytes);
        }
        if count >= self.settings.waiting_max || bytes > self.settings.waiting_bytes_max {
            return None;
        }
        let ticket = self.next_ticket;
        self.next_ticket = AdmissionTicket(ticket.0.wrapping_add(1));
        self.waiting.insert(ticket, request);
        Some(ticket)
    }

    /// Returns the waiting request that gets the next place.
    #[must_use]
    pub fn first(&self, now: MonoMs) -> Option<AdmissionTicket> {
        let behind = self.kinds_behind(now);
        let waiting = self.waiting.iter();
        let ranked = waiting.map(|(ticket, request)| rank(&behind, *ticket, request));
        ranked.min().map(|(.., ticket)| ticket)
    }

    /// Removes a request that got a place, gave up or whose caller left.
    pub fn leave(&mut self, ticket: AdmissionTicket) {
        self.waiting.remove(&ticket);
    }

    /// Records whether a request was admitted or rejected.
    #[allow(clippy::cast_precision_loss)]
    pub fn record(&mut self, urgency: Urgency, admitted: bool, now: MonoMs) {
        let factor = self.decay(urgency, now);
        let recent = self.recent.entry(urgency).or_default();
        let sample = if admitted { 1.0 } else { 0.0 };
        *recent = RecentRequests {
            decided: recent.decided * factor + 1.0,
            admitted: recent.admitted * factor + sample,
            updated_at: now,
        };
    }

    /// Returns the share of recent requests of a kind that were admitted; `None` if
    /// there were too few.
    #[must_use]
    pub fn admitted_share(&self, urgency: Urgency, now: MonoMs) -> Option<f64> {
        let recent = self.recent.get(&urgency)?;
        let decided = recent.decided * self.decay(urgency, now);
        (decided >= self.settings.share_requests_min).then(|| recent.admitted / recent.decided)
    }

    /// Returns true if a request had to wait recently: all places are in use.
    #[must_use]
    pub fn is_short(&self, now: MonoMs) -> bool {
        let shortage_ms = self.settings.shortage_ms;
        self.short_at
            .is_some_and(|short_at| now.since_ms(short_at) < shortage_ms)
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the factor by which the counts of a kind have decayed.
    #[allow(clippy::cast_precision_loss)]
    fn decay(&self, urgency: Urgency, now: MonoMs) -> f64 {
        let updated_at = (self.recent.get(&urgency)).map_or(now, |recent| recent.updated_at);
        let age_ms = now.since_ms(updated_at) as f64;
        (-age_ms / self.settings.time_constant_ms as f64).exp()
    }

    /// Returns the kinds of request that got less than their minimum share.
    fn kinds_behind(&self, now: MonoMs) -> Vec<Urgency> {
        let mut behind = Vec::new();
        for urgency in self.recent.keys().copied() {
            let share = self.admitted_share(urgency, now);
            if share.is_some_and(|share| share < self.settings.share_min) {
                behind.push(urgency);
            }
        }
        behind
    }
}

/// Returns the order of a request; one of a kind in `behind` ranks like the most urgent.
fn rank(behind: &[Urgency], ticket: AdmissionTicket, request: &AdmissionRequest) -> Rank {
    let urgency = if behind.contains(&request.urgency) {
        Urgency::default()
    } else {
        request.urgency
    };
    (urgency, request.returning, request.start_by, ticket)
}
