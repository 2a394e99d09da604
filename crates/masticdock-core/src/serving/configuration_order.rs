//! Which configuration replaces the one in force.
//!
//! Numbers of configurations increase, and an older one must not come back into force. A
//! store that comes back from a copy holds an older configuration until operators have
//! written again; they write the lost ones again, or give the lost numbers out to others.
//! `docs/decisions/0012-configuration-after-a-restored-store.md`
//! has the rules.

use std::collections::VecDeque;

use crate::field_hash::hash_fields;
use crate::units::MonoMs;

use super::store_position::StoreEra;

/// Number and content of a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfigurationId {
    /// Number that operators gave it.
    pub number: u64,
    /// Hash of its content.
    pub content_hash: u64,
}

impl ConfigurationId {
    /// Returns the id of the configuration with this encoded content.
    #[must_use]
    pub fn new(number: u64, content: &[u8]) -> Self {
        Self {
            number,
            content_hash: u64::from_le_bytes(hash_fields(&[content])),
        }
    }
}

/// What a process that hands a configuration on knows of its place in the order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfigurationStamp {
    /// Number of the configuration.
    pub number: u64,
    /// Latest era of the store in which it is known to have been written.
    pub written_in: Option<StoreEra>,
}

impl ConfigurationStamp {
    /// Returns true if a process that holds the configuration `current` takes over the one
    /// with this stamp.
    #[must_use]
    pub fn replaces(self, current: Self) -> bool {
        match (self.written_in, current.written_in) {
            (Some(era), Some(current_era)) if era != current_era => era > current_era,
            // A configuration of unknown era may be from the copy of a restored store.
            (era, current_era) => (self.number, era) > (current.number, current_era),
        }
    }
}

/// How the store told of a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigurationSource {
    /// It was in the table, possibly since the copy from which the store came back.
    Snapshot,
    /// It was written since the previous reply in the same era.
    Change,
}

/// What to do with a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigurationDecision {
    /// It is in force from now on.
    Adopt,
    /// The one in force stays.
    Ignore,
    /// It is in force from the given time on, unless operators write another one before.
    Hold(MonoMs),
}

/// Times after a return of the store from a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfigurationOrderSettings {
    /// Time after the return in which operators write lost configurations again, in
    /// milliseconds.
    pub rewrite_ms: u64,
    /// Shortest time between a write of a lower number and its adoption, in milliseconds.
    pub hold_ms: u64,
    /// The same for a number of which this process may have missed a configuration, in
    /// milliseconds. It cannot tell whether a lost one is written again; operators pause for
    /// less than that between two of them.
    pub unseen_hold_ms: u64,
}

impl Default for ConfigurationOrderSettings {
    fn default() -> Self {
        Self {
            rewrite_ms: 2_000,
            hold_ms: 1_000,
            unseen_hold_ms: 30_000,
        }
    }
}

/// Number of replaced configurations that are recognised when they are written again.
const REPLACED_MAX: usize = 64;

/// Order of the configurations that one process learns of.
#[derive(Debug, Clone)]
pub struct ConfigurationOrder {
    settings: ConfigurationOrderSettings,
    current: Option<ConfigurationId>,
    /// Lowest number from which on this process knows all configurations that were in force.
    known_from: u64,
    /// True if configurations before the next one that is offered may have been missed.
    follows_gap: bool,
    /// Configurations that were in force before, the newest last.
    replaced: VecDeque<ConfigurationId>,
    /// When the store came back from a copy, until it holds the current configuration
    /// again or a newer one.
    restored_at: Option<MonoMs>,
    held: Option<(ConfigurationId, MonoMs)>,
}

impl ConfigurationOrder {
    /// Creates the order of a process that knows no configuration.
    #[must_use]
    pub const fn new(settings: ConfigurationOrderSettings) -> Self {
        Self {
            settings,
            current: None,
            known_from: u64::MAX,
            follows_gap: false,
            replaced: VecDeque::new(),
            restored_at: None,
            held: None,
        }
    }

    /// Records that the store came back from a copy.
    pub const fn store_restored(&mut self, now: MonoMs) {
        self.restored_at = Some(now);
        self.held = None;
    }

    /// Records that configurations before the next one that is offered may have been missed.
    pub const fn record_gap(&mut self) {
        self.follows_gap = true;
    }

    /// Decides on the configuration that the store holds now.
    pub fn offer(
        &mut self,
        offered: ConfigurationId,
        source: ConfigurationSource,
        now: MonoMs,
    ) -> ConfigurationDecision {
        let follows_gap = std::mem::take(&mut self.follows_gap);
        if let Some((held, until)) = self.held
            && held == offered
        {
            return ConfigurationDecision::Hold(until);
        }
        self.held = None;
        let Some(current) = self.current else {
            self.adopt(offered, follows_gap);
            return ConfigurationDecision::Adopt;
        };
        if offered.number > current.number {
            self.adopt(offered, follows_gap);
            return ConfigurationDecision::Adopt;
        }
        let Some(restored_at) = self.restored_at else {
            return ConfigurationDecision::Ignore;
        };
        if offered == current {
            self.restored_at = None;
            return ConfigurationDecision::Ignore;
        }
        if offered.number == current.number {
            self.adopt(offered, follows_gap);
            return ConfigurationDecision::Adopt;
        }
        if source == ConfigurationSource::Snapshot || self.replaced.contains(&offered) {
            return ConfigurationDecision::Ignore;
        }
        let hold_ms = if offered.number < self.known_from {
            self.settings.unseen_hold_ms
        } else {
            self.settings.hold_ms
        };
        let until = restored_at
            .plus_ms(self.settings.rewrite_ms)
            .max(now.plus_ms(hold_ms));
        self.held = Some((offered, until));
        ConfigurationDecision::Hold(until)
    }

    /// Returns true, once, when the held configuration is due and thus in force.
    pub fn adopt_held(&mut self, now: MonoMs) -> bool {
        let Some((held, _)) = self.held.filter(|(_, until)| now >= *until) else {
            return false;
        };
        self.adopt(held, false);
        true
    }

    fn adopt(&mut self, adopted: ConfigurationId, follows_gap: bool) {
        self.known_from = if follows_gap {
            adopted.number
        } else {
            self.known_from.min(adopted.number)
        };
        if self.replaced.len() == REPLACED_MAX {
            self.replaced.pop_front();
        }
        self.replaced.extend(self.current.replace(adopted));
        self.restored_at = None;
        self.held = None;
    }
}
