//! Admission control: load shedding by priority, deadline and workspace share.

use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Priority of a request.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Is shed first.
    Low,
    /// Applies when a request names no priority.
    #[default]
    Normal,
    /// Is shed last.
    High,
}

impl Priority {
    /// Returns the priority as header values spell it.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Low => "low",
            Self::Normal => "normal",
            Self::High => "high",
        }
    }

    /// Returns the percentage of the capacity up to which requests of this priority
    /// are admitted whatever the share of their workspace.
    const fn capacity_percent(self) -> u64 {
        match self {
            Self::Low => 70,
            Self::Normal => 90,
            Self::High => 100,
        }
    }

    /// Returns the queue length at upstreams, as a percentage of the running
    /// requests, from which requests of this priority are shed.
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

/// Facts from which [`admit`] decides about one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionInput {
    /// Priority of the request.
    pub priority: Priority,
    /// Time until the deadline of the request, in milliseconds.
    pub remaining_ms: u64,
    /// Average time to the first byte without queueing, in milliseconds; 0 when unknown.
    pub first_byte_ms: u64,
    /// Average time to the complete answer without queueing, in milliseconds; 0 when unknown.
    pub service_ms: u64,
    /// Requests running at the upstreams of the subset.
    pub running: u64,
    /// Requests queued at the upstreams of the subset.
    pub queued: u64,
    /// Requests in flight through this entry.
    pub entry_in_flight: u64,
    /// Requests that this entry may have in flight.
    pub capacity: u64,
    /// Requests of the workspace in flight through this entry.
    pub workspace_in_flight: u64,
    /// Part of `capacity` that is the workspace's fair share.
    pub workspace_share: u64,
}

/// Reason for which a request is shed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShedReason {
    /// Capacity is short, and the workspace or the priority has used up its part of it.
    Capacity,
    /// The first byte is expected after the deadline.
    Deadline,
}

/// Result of [`admit`].
pub type Admission = Result<(), ShedReason>;

/// Decides whether a request is admitted.
///
/// # Errors
///
/// Returns the reason for which the request is shed.
pub fn admit(input: &AdmissionInput) -> Admission {
    // Queued requests delay a normal one by about one service time for every
    // `running` of them; requests of high priority skip the queue.
    let wait_ms = if input.priority == Priority::High {
        0
    } else {
        input.service_ms * input.queued / input.running.max(1)
    };
    if input.first_byte_ms.saturating_add(wait_ms) > input.remaining_ms {
        return Err(ShedReason::Deadline);
    }
    let queue_percent = input.queued * 100 / input.running.max(1);
    let queue_too_long = input.queued > 0 && queue_percent >= input.priority.queue_percent_max();
    let priority_capacity = input.capacity * input.priority.capacity_percent() / 100;
    if input.entry_in_flight < priority_capacity && !queue_too_long {
        return Ok(());
    }
    if queue_too_long && input.priority == Priority::Low {
        return Err(ShedReason::Capacity);
    }
    let below_share = input.workspace_in_flight < input.workspace_share;
    if below_share && input.entry_in_flight < input.capacity {
        return Ok(());
    }
    Err(ShedReason::Capacity)
}

/// Divides `capacity` among workspaces by weighted max-min fairness.
///
/// No workspace gets more than its demand; capacity that one does not need goes
/// to the others. `demands` holds the weight and demand of each workspace, and
/// the result is in the same order.
#[must_use]
pub fn fair_shares(capacity: u64, demands: &[(u32, u64)]) -> Vec<u64> {
    let mut shares = vec![0; demands.len()];
    // In ascending order of demand per weight, so that what a satisfied workspace
    // does not need is divided among those that follow.
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|a, b| {
        let (weight_a, demand_a) = demands[*a];
        let (weight_b, demand_b) = demands[*b];
        let left = u128::from(demand_a) * u128::from(weight_b.max(1));
        let right = u128::from(demand_b) * u128::from(weight_a.max(1));
        left.cmp(&right).then(a.cmp(b))
    });
    let mut remaining = capacity;
    let mut weight_sum: u64 = demands
        .iter()
        .map(|(weight, _)| u64::from(*weight).max(1))
        .sum();
    for index in order {
        let (weight, demand) = demands[index];
        let weight = u64::from(weight).max(1);
        let fair = u128::from(remaining) * u128::from(weight) / u128::from(weight_sum);
        let share = demand.min(u64::try_from(fair).unwrap_or(u64::MAX));
        shares[index] = share;
        remaining -= share;
        weight_sum -= weight;
    }
    shares
}
