//! Placement and admission of one request.
//!
//! Answers the load pattern in which more requests arrive than the engines can
//! start within the latency objective. A request that waits longer than its
//! objective is worth a quarter and delays those behind it, so a request is
//! sent only where its first event is predicted within the objective, and
//! rejected at once elsewhere. A caller that returns after a rejection is late
//! already. It goes a little before new ones, because a second rejection serves
//! nobody, but gets no longer queue: behind that every new request would be late
//! as well, return, and keep the queue full.

use super::configuration::EngineProfile;

/// Size of a request, as far as the caller tells it.
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
    /// Requests that it processes at once.
    pub slots: u32,
    /// Requests there now, of all entries.
    pub total: u32,
    /// Prompt tokens of own requests without a first event.
    pub pending_prefill_tokens: u64,
    /// Requests of other entries without a first event.
    pub others_pending_prefills: f64,
    /// Factor by which it is slower than predicted.
    pub slowdown: f64,
    /// Delay on its link behind pieces of weights, in milliseconds.
    pub link_delay_ms: f64,
    /// Time until it stops to change its weights, in milliseconds.
    pub switch_in_ms: Option<f64>,
    /// Smoothed time of a plain request, in milliseconds; 0 when unknown.
    pub service_ms: f64,
    /// Further delay that its distance is worth, in milliseconds.
    pub distance_ms: f64,
    /// Number in 0..1 that spreads equal candidates.
    pub draw: f64,
}

/// Limits of placement.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementRules {
    /// Requests beyond the slots of an engine that a request may find.
    pub queue_max: u32,
    /// Part of the remaining objective that the prediction may use.
    pub objective_share: f64,
    /// Part of the whole objective that the prediction of a returning request may use.
    pub returning_objective_share: f64,
    /// Part of the time by which a request would hold up the change of an
    /// upstream's weights that counts as a delay of the request.
    pub overrun_share: f64,
    /// Spread between equal candidates, in milliseconds; keeps two entries from
    /// choosing the same idle upstream.
    pub spread_ms: f64,
}

impl Default for PlacementRules {
    /// Values from the service's parameters: a full batch of 16 frees a slot
    /// about every 100 ms, and objectives are 400 to 500 ms.
    fn default() -> Self {
        Self {
            queue_max: 1,
            objective_share: 0.9,
            returning_objective_share: 1.0,
            overrun_share: 0.25,
            spread_ms: 20.0,
        }
    }
}

/// What becomes of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Placement {
    /// Send it to the candidate with this index.
    Send {
        /// Index in the list of candidates.
        index: usize,
        /// Predicted time to the first event, in milliseconds.
        predicted_ms: f64,
    },
    /// Reject it: every candidate is full or too slow.
    Full {
        /// Predicted time at the best candidate, in milliseconds.
        best_ms: f64,
    },
    /// Reject it: no upstream is usable.
    NoCandidate,
}

/// Chooses the upstream with the earliest predicted first event. For a returning
/// request `objective_left_ms` is the whole objective.
#[must_use]
pub fn place(
    candidates: &[Candidate],
    engine: Option<&EngineProfile>,
    size: RequestSize,
    objective_left_ms: f64,
    returning: bool,
    rules: &PlacementRules,
) -> Placement {
    let mut best: Option<(usize, f64, f64)> = None;
    let mut best_refused_ms = f64::INFINITY;
    let objective_share = if returning {
        rules.returning_objective_share
    } else {
        rules.objective_share
    };
    for (index, candidate) in candidates.iter().enumerate() {
        let predicted_ms = predict_ms(candidate, engine, size);
        let late = predicted_ms > objective_left_ms * objective_share;
        if late || candidate.total >= candidate.slots + rules.queue_max {
            best_refused_ms = best_refused_ms.min(predicted_ms);
            continue;
        }
        let cost_ms = predicted_ms
            + candidate.distance_ms
            + rules.spread_ms * candidate.draw
            + rules.overrun_share * overrun_ms(candidate, engine, size, predicted_ms);
        if best.is_none_or(|(_, cost, _)| cost_ms < cost) {
            best = Some((index, cost_ms, predicted_ms));
        }
    }
    match best {
        Some((index, _, predicted_ms)) => Placement::Send {
            index,
            predicted_ms,
        },
        None if candidates.is_empty() => Placement::NoCandidate,
        None => Placement::Full {
            best_ms: best_refused_ms,
        },
    }
}

/// Time of a plain request before any was measured, in milliseconds.
const PLAIN_SERVICE_MS: f64 = 50.0;

/// Predicts the time to the first event, in milliseconds.
#[allow(clippy::cast_precision_loss)]
fn predict_ms(candidate: &Candidate, engine: Option<&EngineProfile>, size: RequestSize) -> f64 {
    let slots = candidate.slots.max(1);
    let ahead = (candidate.total + 1).saturating_sub(slots);
    let Some(engine) = engine else {
        let service_ms = if candidate.service_ms > 0.0 {
            candidate.service_ms
        } else {
            PLAIN_SERVICE_MS
        };
        let busy = f64::from(candidate.total.min(slots)) / f64::from(slots);
        // The tie towards emptier upstreams costs nothing while slots are free.
        return service_ms * (1.0 + busy * 0.1 + f64::from(ahead) / f64::from(slots));
    };
    let running = candidate.total.min(slots);
    let slot_wait_ms = f64::from(ahead) * engine.service_ms() / f64::from(slots);
    let own_tokens = (candidate.pending_prefill_tokens + size.prompt_tokens) as f64;
    let others_tokens = candidate.others_pending_prefills * engine.prompt_tokens_mean;
    let read_ms = engine.prefill_ms(own_tokens + others_tokens);
    // A request joins at the end of the current pass and its first event comes
    // at the end of the one after its prompt was read.
    let first_ms = slot_wait_ms + read_ms + 1.5 * engine.pass_ms(running);
    candidate.slowdown * first_ms + candidate.link_delay_ms + f64::from(running)
}

/// Returns by how long a request would hold up the change of the weights, in milliseconds.
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
    let running = candidate.total.min(candidate.slots) + 1;
    let duration_ms = predicted_ms + passes * engine.pass_ms(running) * candidate.slowdown;
    (duration_ms - switch_in_ms.max(0.0)).clamp(0.0, OVERRUN_MAX_MS)
}

/// Longest overrun that counts, in milliseconds: hints of the length are often far off.
const OVERRUN_MAX_MS: f64 = 3_000.0;
