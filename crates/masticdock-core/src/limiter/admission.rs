//! Shedding when capacity is short.

use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Priority of a request.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Shed first.
    Low,
    /// The default.
    #[default]
    Normal,
    /// Shed last.
    High,
}

impl Priority {
    /// Returns the priority as written in headers.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Low => "low",
            Self::Normal => "normal",
            Self::High => "high",
        }
    }

    /// Returns the part of the capacity that requests of this priority may fill, in percent.
    const fn capacity_percent(self) -> u64 {
        match self {
            Self::Low => 70,
            Self::Normal => 90,
            Self::High => 100,
        }
    }

    /// Returns the queue in upstreams, in percent of the running requests, at
    /// which requests of this priority are shed.
    const fn queue_percent_max(self) -> u64 {
        match self {
            Self::Low => 25,
            Self::Normal => 50,
            Self::High => u64::MAX,
        }
    }
}

impl FromStr for Priority {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "low" => Ok(Self::Low),
            "normal" => Ok(Self::Normal),
            "high" => Ok(Self::High),
            _ => Err("use low, normal or high"),
        }
    }
}

/// What the decision about one request rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionInput {
    /// Priority of the request.
    pub priority: Priority,
    /// Time left, in milliseconds.
    pub remaining_ms: u64,
    /// Usual time to the first byte without a queue, in milliseconds; 0 when unknown.
    pub first_byte_ms: u64,
    /// Usual time of a whole answer without a queue, in milliseconds; 0 when unknown.
    pub service_ms: u64,
    /// Requests running in the upstreams of the subset.
    pub running: u64,
    /// Requests waiting in the upstreams of the subset.
    pub queued: u64,
    /// Requests in progress through this entry.
    pub entry_in_flight: u64,
    /// Requests in progress that this entry may have.
    pub capacity: u64,
    /// Requests of the workspace in progress through this entry.
    pub workspace_in_flight: u64,
    /// Fair share of the workspace in `capacity`.
    pub workspace_share: u64,
}

/// Why a request is shed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShedReason {
    /// Capacity is short, and the workspace or the priority has its share.
    Capacity,
    /// The answer would come after the deadline.
    Deadline,
}

/// Outcome of an admission.
pub type Admission = Result<(), ShedReason>;

/// Decides whether a request is taken.
///
/// # Errors
///
/// Returns why the request is shed.
pub fn admit(input: &AdmissionInput) -> Admission {
    // The queue ahead delays a normal request by about one service time for each
    // batch that waits; a high-priority request overtakes the queue.
    let wait_ms = if input.priority == Priority::High {
        0
    } else {
        input.service_ms * input.queued / input.running.max(1)
    };
    if input.first_byte_ms.saturating_add(wait_ms) > input.remaining_ms {
        return Err(ShedReason::Deadline);
    }
    let queue_percent = input.queued * 100 / input.running.max(1);
    let queue_long = input.queued > 0 && queue_percent >= input.priority.queue_percent_max();
    let room = input.capacity * input.priority.capacity_percent() / 100;
    if input.entry_in_flight < room && !queue_long {
        return Ok(());
    }
    if queue_long && input.priority == Priority::Low {
        return Err(ShedReason::Capacity);
    }
    let below_share = input.workspace_in_flight < input.workspace_share;
    if below_share && input.entry_in_flight < input.capacity {
        return Ok(());
    }
    Err(ShedReason::Capacity)
}

/// Splits `capacity` between workspaces by weight: none gets more than it asks
/// for, and what one leaves goes to the others.
///
/// `asks` holds weight and demand of each workspace; the result has the same order.
#[must_use]
pub fn fair_shares(capacity: u64, asks: &[(u32, u64)]) -> Vec<u64> {
    let mut shares = vec![0; asks.len()];
    // By demand per weight: a workspace that is satisfied leaves its rest behind.
    let mut order: Vec<usize> = (0..asks.len()).collect();
    order.sort_by(|a, b| {
        let (weight_a, ask_a) = asks[*a];
        let (weight_b, ask_b) = asks[*b];
        let left = u128::from(ask_a) * u128::from(weight_b.max(1));
        let right = u128::from(ask_b) * u128::from(weight_a.max(1));
        left.cmp(&right).then(a.cmp(b))
    });
    let mut left = capacity;
    let mut weights: u64 = asks
        .iter()
        .map(|(weight, _)| u64::from(*weight).max(1))
        .sum();
    for index in order {
        let (weight, ask) = asks[index];
        let weight = u64::from(weight).max(1);
        let fair = u128::from(left) * u128::from(weight) / u128::from(weights);
        let share = ask.min(u64::try_from(fair).unwrap_or(u64::MAX));
        shares[index] = share;
        left -= share;
        weights -= weight;
    }
    shares
}
