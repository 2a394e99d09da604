//! Requests of the measurement.

use masticdock_standins::engine::CRASH_MARK;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value as Json, json};

/// Prompts that share a prefix belong to one of this many groups.
const PREFIX_GROUPS: u64 = 24;

/// Requests out of this many that crash the engine, when faults are injected.
const CRASHING_EVERY: u64 = 400;

/// Kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Kind {
    /// Tokens as server-sent events.
    Stream,
    /// Tokens as a whole answer.
    Whole,
    /// A call that must not be repeated.
    Order,
    /// A call of a plain service that may be repeated.
    Lookup,
}

/// One request of a caller; it may be sent more than once.
#[derive(Debug, Clone)]
pub(super) struct Logical {
    pub(super) number: u64,
    pub(super) kind: Kind,
    pub(super) prompt: String,
    pub(super) max_tokens: u32,
    /// Also sent through the second entry at the same time, with the same key.
    pub(super) doubled: bool,
    pub(super) priority: &'static str,
}

impl Logical {
    /// Returns the service.
    pub(super) const fn service(&self) -> &'static str {
        match self.kind {
            Kind::Stream | Kind::Whole => "assistant",
            Kind::Order => "orders",
            Kind::Lookup => "lookup",
        }
    }

    /// Returns the body.
    pub(super) fn body(&self) -> Json {
        match self.kind {
            Kind::Order | Kind::Lookup => json!({ "order": self.number }),
            Kind::Stream | Kind::Whole => json!({
                "prompt": self.prompt,
                "max_tokens": self.max_tokens,
                "stream": self.kind == Kind::Stream,
            }),
        }
    }

    /// Returns the idempotency key of an order.
    pub(super) fn key(&self, run: &str) -> Option<String> {
        (self.kind == Kind::Order).then(|| format!("{run}-order-{}", self.number))
    }
}

/// Returns a request for a completion.
pub(super) fn completion(number: u64, kind: Kind, max_tokens: u32) -> Logical {
    let group = number % PREFIX_GROUPS;
    Logical {
        number,
        kind,
        // The shared part is as long as the prefix that routing looks at.
        prompt: format!("{:x<300} request {number}", format!("group {group} ")),
        max_tokens,
        doubled: false,
        priority: "normal",
    }
}

/// Returns mixed requests: 55% streams, 20% whole answers, 25% orders.
pub(super) fn mixed(seed: u64, count: u64, faults: bool) -> Vec<Logical> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut requests = Vec::new();
    for number in 0..count {
        let kind = match rng.random_range(0..100) {
            0..55 => Kind::Stream,
            55..75 => Kind::Whole,
            _ => Kind::Order,
        };
        let mut request = completion(number, kind, rng.random_range(4..40));
        request.doubled = kind == Kind::Order && rng.random_bool(0.1);
        if faults && kind != Kind::Order && number % CRASHING_EVERY == CRASHING_EVERY / 2 {
            request.prompt = format!("{CRASH_MARK} request {number}");
        }
        requests.push(request);
    }
    requests
}
