//! Fault controls that all stand-ins share.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// Longest time for which a stalled connection is kept open.
const STALL_MAX: Duration = Duration::from_mins(10);

/// Faults of a stand-in; the fractions are probabilities per call, of which one fault results.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Answers 503 without effect; a link closes its connections.
    pub unavailable: f64,
    /// Breaks the connection before the effect.
    pub lose_request: f64,
    /// Breaks the connection after the effect.
    pub lose_answer: f64,
    /// Flips one byte of the answer's body.
    pub corrupt: f64,
    /// Sends half of the answer's body, then keeps the connection open without bytes.
    pub stall: f64,
    /// Time before each call is handled, in milliseconds.
    pub delay_ms: u64,
    /// Seed of the draws.
    pub seed: u64,
    /// Limits the faults to calls whose `METHOD path target` contains this text.
    pub only: String,
    /// Number of calls that a fault may hit; `None` means all.
    pub times: Option<u32>,
}

/// The one fault that hits a call, if any.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum Hit {
    #[default]
    Nothing,
    Unavailable,
    LoseRequest,
    LoseAnswer,
    Corrupt,
    Stall,
}

/// What happens to one call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Draw {
    pub(crate) generation: u64,
    pub(crate) delay_ms: u64,
    pub(crate) hit: Hit,
}

#[derive(Debug)]
struct Inner {
    faults: Faults,
    generation: u64,
    rng: ChaCha8Rng,
}

/// Faults in force; shared by the threads of a stand-in.
#[derive(Debug)]
pub struct FaultControl {
    inner: Mutex<Inner>,
    changed: Condvar,
}

impl Default for FaultControl {
    fn default() -> Self {
        Self {
            inner: Mutex::new(Inner {
                faults: Faults::default(),
                generation: 0,
                rng: ChaCha8Rng::seed_from_u64(0),
            }),
            changed: Condvar::new(),
        }
    }
}

impl FaultControl {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the faults and ends all stalls.
    pub fn set(&self, faults: Faults) {
        let mut inner = self.lock();
        inner.rng = ChaCha8Rng::seed_from_u64(faults.seed);
        inner.faults = faults;
        inner.generation += 1;
        self.changed.notify_all();
    }

    /// Returns the faults in force.
    #[must_use]
    pub fn get(&self) -> Faults {
        self.lock().faults.clone()
    }

    pub(crate) fn draw(&self, call: &str) -> Draw {
        let mut inner = self.lock();
        let generation = inner.generation;
        let nothing = Draw {
            generation,
            ..Draw::default()
        };
        if inner.faults.times == Some(0) || !call.contains(&inner.faults.only) {
            return nothing;
        }
        let faults = inner.faults.clone();
        let probabilities = [
            (faults.unavailable, Hit::Unavailable),
            (faults.lose_request, Hit::LoseRequest),
            (faults.lose_answer, Hit::LoseAnswer),
            (faults.corrupt, Hit::Corrupt),
            (faults.stall, Hit::Stall),
        ];
        let mut hit = Hit::Nothing;
        for (probability, candidate) in probabilities {
            let drawn = inner.rng.random_bool(probability.clamp(0.0, 1.0));
            if drawn && hit == Hit::Nothing {
                hit = candidate;
            }
        }
        let draw = Draw {
            generation,
            delay_ms: faults.delay_ms,
            hit,
        };
        if (draw.hit != Hit::Nothing || draw.delay_ms > 0)
            && let Some(times) = &mut inner.faults.times
        {
            *times -= 1;
        }
        draw
    }

    /// Blocks until the faults are no longer those of `generation`.
    pub(crate) fn wait_changed(&self, generation: u64) {
        let inner = self.lock();
        let _unused = self
            .changed
            .wait_timeout_while(inner, STALL_MAX, |inner| inner.generation == generation);
    }
}
