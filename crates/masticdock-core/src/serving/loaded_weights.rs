//! Whether the weights that an engine has loaded are known to be intact.
//!
//! An engine takes the staged chunks as they are when it accepts an order. A chunk that was
//! intact when an agent read it may be corrupt by then, because requests drained, the reads
//! were slow, a process was paused or the order was late. Corruption of the last seconds is
//! excused, so an order is safe if the first read is recent when its answer arrives. After
//! any other order the chunks are read again: a corrupt chunk does not heal, so that chunks
//! which are intact now were intact when the engine took them.

use crate::units::MonoMs;

/// Settings of [`LoadedWeights`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadedWeightsSettings {
    /// Maximum age of the first read of the stage when an order is sent, in milliseconds.
    pub order_read_age_max_ms: u64,
    /// Maximum age of the first read of the stage when an order is answered for the loaded
    /// weights to count as intact, in milliseconds. Corruption of the last 3 s is excused.
    pub answer_read_age_max_ms: u64,
}

impl Default for LoadedWeightsSettings {
    fn default() -> Self {
        Self {
            order_read_age_max_ms: 1_500,
            answer_read_age_max_ms: 2_500,
        }
    }
}

/// Times of a read of all staged chunks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StageRead {
    /// When the first chunk was requested.
    pub began_at: MonoMs,
    /// When the last chunk had arrived.
    pub ended_at: MonoMs,
    /// True if the reading process was paused meanwhile.
    pub paused: bool,
}

/// Identifies what an engine has loaded, by its process and its orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadId {
    /// Start time of the engine's process, in milliseconds since the Unix epoch.
    pub started_at_ms: Option<u64>,
    /// Number of load orders that the process has accepted.
    pub orders: u64,
}

/// What is known of loaded weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadState {
    /// The weights are intact, or the engine loaded them at its start.
    Intact,
    /// A former agent process ordered the load; the engine serves while it is checked.
    Inherited,
    /// A chunk may have been corrupt; the engine must not serve before a check.
    Unchecked,
    /// A chunk was corrupt; the engine must not serve.
    Corrupt,
}

impl LoadState {
    /// Returns whether the engine may serve requests.
    #[must_use]
    pub const fn may_serve(self) -> bool {
        matches!(self, Self::Intact | Self::Inherited)
    }
}

/// Tracks which loads of an engine are known to be intact.
#[derive(Debug, Clone, Default)]
pub struct LoadedWeights {
    settings: LoadedWeightsSettings,
    /// Load that the latest report of the engine showed.
    reported: Option<LoadId>,
    inherited: Option<LoadId>,
    intact: Option<LoadId>,
    corrupt: Option<LoadId>,
    /// Load that the latest answer of the engine confirmed.
    confirmed: Option<LoadId>,
    /// True if an order was sent whose answer did not arrive; it may be accepted later.
    order_unanswered: bool,
    /// True if a chunk was staged since the unanswered order was sent. The engine may have
    /// taken what the chunk replaced.
    stage_overwritten: bool,
}

impl LoadedWeights {
    /// Creates a tracker for an engine that has not reported yet.
    #[must_use]
    pub fn new(settings: LoadedWeightsSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Records a report of the engine. A finished load that the first one shows was ordered
    /// by a former agent process.
    pub fn record_report(&mut self, load: LoadId, busy: bool) {
        let Some(reported) = self.reported.replace(load) else {
            self.inherited = (!busy).then_some(load);
            return;
        };
        // The start time does not show that an engine which reports none was restarted.
        if load.started_at_ms.is_none() && load.orders < reported.orders {
            *self = Self {
                reported: Some(load),
                ..Self::new(self.settings)
            };
        }
    }

    /// Returns whether the stage has to be read again before an order is sent. Reads that are
    /// old only because the engine is slow would be no younger.
    #[must_use]
    pub const fn must_read_again(&self, read: StageRead, now: MonoMs) -> bool {
        let age_max_ms = self.settings.order_read_age_max_ms;
        let is_slow = !read.paused && read.ended_at.since_ms(read.began_at) > age_max_ms;
        !is_slow && now.since_ms(read.began_at) > age_max_ms
    }

    /// Records that the engine accepted the order that led to `load`.
    pub fn record_accepted(&mut self, load: LoadId, first_read_at: MonoMs, now: MonoMs) {
        self.confirmed = Some(load);
        self.order_unanswered = false;
        self.stage_overwritten = false;
        if now.since_ms(first_read_at) <= self.settings.answer_read_age_max_ms {
            self.intact = Some(load);
        }
    }

    /// Records that an order was sent and not answered.
    pub const fn record_unanswered(&mut self) {
        self.order_unanswered = true;
    }

    /// Records that a chunk was staged.
    pub const fn record_staged(&mut self) {
        self.stage_overwritten |= self.order_unanswered;
    }

    /// Records whether all chunks in the stage were intact after `load`.
    pub fn record_check(&mut self, load: LoadId, intact: bool) {
        if intact && !self.stage_overwritten {
            self.intact = Some(load);
        } else {
            self.corrupt = Some(load);
        }
    }

    /// Returns whether a report is older than the latest accepted order.
    #[must_use]
    pub fn is_outdated(&self, reported: LoadId) -> bool {
        self.confirmed.is_some_and(|confirmed| {
            confirmed.started_at_ms == reported.started_at_ms && confirmed.orders > reported.orders
        })
    }

    /// Returns what is known of the weights of a load.
    #[must_use]
    pub fn state(&self, load: LoadId) -> LoadState {
        if load.orders == 0 || self.intact == Some(load) {
            LoadState::Intact
        } else if self.corrupt == Some(load) {
            LoadState::Corrupt
        } else if self.inherited == Some(load) {
            LoadState::Inherited
        } else {
            LoadState::Unchecked
        }
    }
}
