//! Fault injection, shared by all stand-ins.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// Maximum time for which a stalled connection is kept open.
const STALL_MAX: Duration = Duration::from_mins(10);

/// Faults of a stand-in; fractions are probabilities per request, and at most one of
/// these faults affects a request.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Responds with status 503 without running the request; a link closes its
    /// connections.
    pub unavailable: f64,
    /// Closes the connection before the request runs.
    pub lose_request: f64,
    /// Closes the connection after the request ran.
    pub lose_answer: f64,
    /// Flips one bit of the response body.
    pub corrupt: f64,
    /// Sends half of the response body, then keeps the connection open without sending.
    pub stall: f64,
    /// Delay before each request is handled, in milliseconds.
    pub delay_ms: u64,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Limits the faults to requests whose `METHOD path target` contains this text.
    pub only: String,
    /// Maximum number of requests that a fault affects; `None` means no limit.
    pub times: Option<u32>,
}

/// The fault that affects a request, if any.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum Fault {
    #[default]
    Unaffected,
    Unavailable,
    LoseRequest,
    LoseAnswer,
    Corrupt,
    Stall,
}

/// Fault and delay selected for one request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Draw {
    pub(crate) generation: u64,
    pub(crate) delay_ms: u64,
    pub(crate) fault: Fault,
}

#[derive(Debug)]
struct Inner {
    faults: Faults,
    generation: u64,
    rng: ChaCha8Rng,
}

/// Active faults, shared by the threads of a stand-in.
#[derive(Debug)]
pub struct FaultControl {
    inner: Mutex<Inner>,
    replaced: Condvar,
}

impl Default for FaultControl {
    fn default() -> Self {
        Self {
            inner: Mutex::new(Inner {
                faults: Faults::default(),
                generation: 0,
                rng: ChaCha8Rng::seed_from_u64(0),
            }),
            replaced: Condvar::new(),
        }
    }
}

impl FaultControl {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the active faults and ends all stalls.
    pub fn set(&self, faults: Faults) {
        let mut inner = self.lock();
        inner.rng = ChaCha8Rng::seed_from_u64(faults.seed);
        inner.faults = faults;
        inner.generation += 1;
        self.replaced.notify_all();
    }

    /// Returns the active faults.
    #[must_use]
    pub fn get(&self) -> Faults {
        self.lock().faults.clone()
    }

    /// Selects the fault and the delay of a request, given as `METHOD path target`.
    pub(crate) fn draw(&self, request: &str) -> Draw {
        let mut inner = self.lock();
        let generation = inner.generation;
        let unaffected = Draw {
            generation,
            ..Draw::default()
        };
        if inner.faults.times == Some(0) || !request.contains(&inner.faults.only) {
            return unaffected;
        }
        let faults = inner.faults.clone();
        let probabilities = [
            (faults.unavailable, Fault::Unavailable),
            (faults.lose_request, Fault::LoseRequest),
            (faults.lose_answer, Fault::LoseAnswer),
            (faults.corrupt, Fault::Corrupt),
            (faults.stall, Fault::Stall),
        ];
        let mut fault = Fault::Unaffected;
        for (probability, candidate) in probabilities {
            let drawn = inner.rng.random_bool(probability.clamp(0.0, 1.0));
            if drawn && fault == Fault::Unaffected {
                fault = candidate;
            }
        }
        let draw = Draw {
            generation,
            delay_ms: faults.delay_ms,
            fault,
        };
        if (draw.fault != Fault::Unaffected || draw.delay_ms > 0)
            && let Some(times) = &mut inner.faults.times
        {
            *times -= 1;
        }
        draw
    }

    /// Blocks until the faults of `generation` are replaced, at most for [`STALL_MAX`].
    pub(crate) fn wait_until_replaced(&self, generation: u64) {
        let inner = self.lock();
        let _unused = self
            .replaced
            .wait_timeout_while(inner, STALL_MAX, |inner| inner.generation == generation);
    }
}
