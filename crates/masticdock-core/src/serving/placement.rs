//! Placement and admission of one request.
//!
//! Under overload, more requests arrive than the engines can start within the
//! latency objective. A request that misses its objective counts only a quarter and
//! delays those behind it, so a request is sent only to an upstream whose predicted
//! time to the first event meets the objective, and is otherwise rejected at once.
//!
//! Where agents divide the free places of their engines among the entries, a request
//! goes to an engine that grants this entry a place. Without any, it goes to an engine
//! with free slots as long as nothing was rejected recently, because then the places that
//! other entries hold are not all used. An upstream that is silent comes last: it may be
//! sound and go on, or never answer.
//!
//! An engine reads all pending prompts between two passes, in which no stream gets an
//! event. Several prompts at once, or one at an engine that is slow at the moment, make all
//! its streams late. Such an engine is chosen only if no other one has room.
//!
//! A returning request, which its caller sends after an earlier rejection, is late
//! already. It is admitted slightly more readily than a new one, because a second
//! rejection helps nobody, but gets no longer queue: behind a longer queue every new
//! request would be late as well, return, and keep the queue full.

use super::configuration::EngineProfile;

/// Size of a request, as far as the caller states it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RequestSize {
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Expected output tokens.
    pub answer_tokens: u64,
}

/// An upstream that may take the request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Estimated number of requests at the upstream, of all entries.
    pub total: u32,
    /// Prompt tokens of this entry's requests without a first event.
    pub pending_prefill_tokens: u64,
    /// Estimated number of other entries' requests without a first event.
    pub others_pending_prefills: f64,
    /// Factor by which the upstream is slower than predicted.
    pub slowdown: f64,
    /// Delay of requests behind chunks of weights on its link, in milliseconds.
    pub link_delay_ms: f64,
    /// Time until it stops serving to switch its weights, in milliseconds.
    pub switch_in_ms: Option<f64>,
    /// Smoothed service time when the upstream runs no model, in milliseconds; 0 when
    /// unknown.
    pub service_ms: f64,
    /// Penalty for its network distance, in milliseconds.
    pub distance_ms: f64,
    /// True when its agent grants this entry a place; `None` if no agent divides them.
    pub has_place: Option<bool>,
    /// True if it sends nothing at the moment although requests wait for it.
    pub silent: bool,
    /// Random number in 0..1 that breaks ties between candidates.
    pub draw: f64,
}

/// Limits and weights of placement.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementRules {
    /// Maximum number of queued requests, beyond the slots, at a candidate.
    pub queue_max: u32,
    /// Share of the remaining objective that the prediction may use.
    pub objective_share: f64,
    /// Share of the whole objective that the prediction of a returning request may use.
    pub returning_objective_share: f64,
    /// Share of the time by which a request would delay a switch of the weights that
    /// is added to its cost.
    pub overrun_share: f64,
    /// Maximum random cost, in milliseconds; keeps entries from choosing the same
    /// idle upstream.
    pub spread_ms: f64,
    /// True if a request may be sent without a place when no candidate grants one.
    pub use_free_slots: bool,
    /// Smallest pause objective of the streams that run at the candidates, in milliseconds;
    /// `None` if they have none.
    pub pause_objective_ms: Option<f64>,
}

impl Default for PlacementRules {
    /// Returns rules for engines whose full batch of 16 frees a slot about every
    /// 100 ms, and for objectives of 400 to 500 ms.
    fn default() -> Self {
        Self {
            queue_max: 1,
            objective_share: 0.9,
            returning_objective_share: 1.0,
            overrun_share: 0.25,
            spread_ms: 20.0,
            use_free_slots: true,
            pause_objective_ms: None,
        }
    }
}

/// Placement decision for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Placement {
    /// Send the request to a candidate.
    Send {
        /// Index in the list of candidates.
        index: usize,
        /// Predicted time to the first event, in milliseconds.
        predicted_ms: f64,
    },
    /// Reject the request: every candidate is full or too slow.
    Full {
        /// Predicted time to the first event at the fastest candidate, in milliseconds.
        best_ms: f64,
    },
    /// Reject the request: no upstream is usable.
    NoCandidate,
}

/// Best candidate so far.
#[derive(Debug, Clone, Copy)]
struct Choice {
    index: usize,
    cost_ms: f64,
    predicted_ms: f64,
}

/// Chooses the candidate with the lowest cost, mainly the predicted time to the first
/// event. For a returning request `objective_left_ms` is the whole objective.
#[must_use]
pub fn place(
    candidates: &[Candidate],
    engine: Option<&EngineProfile>,
    size: RequestSize,
    objective_left_ms: f64,
    returning: bool,
    rules: &PlacementRules,
) -> Placement {
    let mut best: Option<Choice> = None;
    let mut best_without_place: Option<Choice> = None;
    let mut best_pausing: Option<Choice> = None;
    let mut best_silent: Option<Choice> = None;
    let mut best_rejected_ms = f64::INFINITY;
    let objective_share = if returning {
        rules.returning_objective_share
    } else {
        rules.objective_share
    };
    for (index, candidate) in candidates.iter().enumerate() {
        let predicted_ms = predict_ms(candidate, engine, size);
        let late = predicted_ms > objective_left_ms * objective_share;
        if late || candidate.total >= candidate.slots.saturating_add(rules.queue_max) {
            best_rejected_ms = best_rejected_ms.min(predicted_ms);
            continue;
        }
        let cost_ms = predicted_ms
            + candidate.distance_ms
            + rules.spread_ms * candidate.draw
            + rules.overrun_share * overrun_ms(candidate, engine, size, predicted_ms);
        let slot = if candidate.has_place != Some(false) {
            &mut best
        } else if rules.use_free_slots && candidate.total < candidate.slots {
            &mut best_without_place
        } else {
            best_rejected_ms = best_rejected_ms.min(predicted_ms);
            continue;
        };
        let slot = if candidate.silent {
            &mut best_silent
        } else if exceeds_pause_objective(candidate, engine, size, rules) {
            &mut best_pausing
        } else {
            slot
        };
        if slot.is_none_or(|chosen| cost_ms < chosen.cost_ms) {
            *slot = Some(Choice {
                index,
                cost_ms,
                predicted_ms,
            });
        }
    }
    let chosen = best.or(best_without_place).or(best_pausing).or(best_silent);
    match chosen {
        Some(choice) => Placement::Send {
            index: choice.index,
            predicted_ms: choice.predicted_ms,
        },
        None if candidates.is_empty() => Placement::NoCandidate,
        None => Placement::Full {
            best_ms: best_rejected_ms,
        },
    }
}

/// Service time assumed before the first sample when an upstream runs no model, in
/// milliseconds.
pub(super) const ASSUMED_SERVICE_MS: f64 = 50.0;

/// Predicts the time to the first event, in milliseconds.
#[allow(clippy::cast_precision_loss)]
fn predict_ms(candidate: &Candidate, engine: Option<&EngineProfile>, size: RequestSize) -> f64 {
    let slots = candidate.slots.max(1);
    let queued_ahead = candidate.total.saturating_add(1).saturating_sub(slots);
    let Some(engine) = engine else {
        let service_ms = if candidate.service_ms > 0.0 {
            candidate.service_ms
        } else {
            ASSUMED_SERVICE_MS
        };
        let utilization = f64::from(candidate.total.min(slots)) / f64::from(slots);
        // Prefers emptier upstreams slightly while slots are free.
        return service_ms * (1.0 + utilization * 0.1 + f64::from(queued_ahead) / f64::from(slots));
    };
    let running = candidate.total.min(slots);
    let slot_wait_ms = f64::from(queued_ahead) * engine.service_ms() / f64::from(slots);
    let total_prefill_ms = pending_prefill_ms(candidate, engine, size);
    // A request joins the batch at the end of the current pass, half a pass away on
    // average, and its first event comes at the end of the pass after its prefill.
    let first_event_ms = slot_wait_ms + total_prefill_ms + 1.5 * engine.pass_ms(running);
    candidate.slowdown * first_event_ms + candidate.link_delay_ms + f64::from(running)
}

/// Returns the prefill time of all pending prompts and that of the request, in milliseconds.
#[allow(clippy::cast_precision_loss)]
fn pending_prefill_ms(candidate: &Candidate, engine: &EngineProfile, size: RequestSize) -> f64 {
    let own_tokens = candidate
        .pending_prefill_tokens
        .saturating_add(size.prompt_tokens) as f64;
    let others_tokens = candidate.others_pending_prefills * engine.prompt_tokens_mean;
    engine.prefill_ms(own_tokens + others_tokens)
}

/// Returns whether the request would make the streams that run at a candidate pause for
/// longer than their objective.
fn exceeds_pause_objective(
    candidate: &Candidate,
    engine: Option<&EngineProfile>,
    size: RequestSize,
    rules: &PlacementRules,
) -> bool {
    let (Some(engine), Some(objective_ms)) = (engine, rules.pause_objective_ms) else {
        return false;
    };
    if candidate.total == 0 {
        return false;
    }
    let running = candidate.total.min(candidate.slots);
    let pass_ms = pending_prefill_ms(candidate, engine, size) + engine.pass_ms(running);
    candidate.slowdown * pass_ms > objective_ms * rules.objective_share
}

/// Returns by how long a request would delay the switch of the weights, in milliseconds.
#[allow(clippy::cast_precision_loss)]
fn overrun_ms(
    candidate: &Candidate,
    engine: Option<&EngineProfile>,
    size: RequestSize,
    predicted_ms: f64,
) -> f64 {
    let (Some(engine), Some(switch_in_ms)) = (engine, candidate.switch_in_ms) else {
        return 0.0;
    };
    let passes = size.answer_tokens as f64 / f64::from(engine.steps_per_pass);
    let running = candidate.total.min(candidate.slots).saturating_add(1);
    let duration_ms = predicted_ms + passes * engine.pass_ms(running) * candidate.slowdown;
    (duration_ms - switch_in_ms.max(0.0)).clamp(0.0, OVERRUN_MAX_MS)
}

/// Maximum overrun that counts, in milliseconds: callers' hints of the output length
/// are often far off.
const OVERRUN_MAX_MS: f64 = 3_000.0;
