//! Crashes that an entry knows of, and the features that explain them.

use std::collections::{BTreeMap, HashMap};

use crate::units::MonoMs;

use super::{
    CrashRecord, RequestFeature, RequestFeatures, Suspect, UpstreamProcess, WHOLE_REQUEST_DEPTH,
};

/// Settings of a [`CrashHistory`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashHistorySettings {
    /// Number of crashes at distinct moments from which a part of prompts is blocked.
    pub part_crash_limit: u32,
    /// Number of crashes at distinct moments from which a repeated request is blocked.
    pub request_crash_limit: u32,
    /// Number of crashes from which a repeated request is not retried.
    pub request_retry_limit: u32,
    /// Crashes within this time count as one against a part, in milliseconds: a loss of
    /// power ends many engines at the same moment.
    pub distinct_ms: u64,
    /// The same time for repeated requests, in milliseconds. A retry crashes the next
    /// upstream soon, while few upstreams run the same request at the same moment.
    pub request_distinct_ms: u64,
    /// Time for which successes of a service have to be observed before a crash, so that
    /// it counts at once against a feature that was not among them, in milliseconds.
    pub observe_ms: u64,
    /// Time from the first success of a later request after which a crash counts against
    /// other features, in milliseconds. By then one of the successes usually had the
    /// feature if it is sound.
    pub settle_ms: u64,
    /// Age of a crash, when an entry learns of it, from which other entries have refuted the
    /// sound suspects, so that it counts at once, in milliseconds.
    pub refuted_ms: u64,
    /// Time for which a crash and a success count, in milliseconds.
    pub retention_ms: u64,
    /// Maximum number of crashes.
    pub records_max: usize,
    /// Maximum number of suspects of a crash.
    pub suspects_max: usize,
    /// Maximum number of features whose successes are remembered.
    pub sound_max: usize,
    /// Minimum interval between removals of old successes, in milliseconds.
    pub sound_cleanup_ms: u64,
}

impl Default for CrashHistorySettings {
    fn default() -> Self {
        Self {
            part_crash_limit: 4,
            request_crash_limit: 3,
            request_retry_limit: 2,
            distinct_ms: 150,
            request_distinct_ms: 50,
            observe_ms: 5_000,
            settle_ms: 500,
            refuted_ms: 3_000,
            retention_ms: 600_000,
            records_max: 256,
            suspects_max: 512,
            sound_max: 8_192,
            sound_cleanup_ms: 1_000,
        }
    }
}

/// Interval between evaluations without a new crash or success, in milliseconds.
const EVALUATION_INTERVAL_MS: u64 = 100;
/// Minimum interval between evaluations, in milliseconds.
const EVALUATION_INTERVAL_MIN_MS: u64 = 25;

/// Feature that explains crashes; requests with it are not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BlockedFeature {
    /// The feature and its depth.
    pub suspect: Suspect,
    /// Number of crashes at distinct moments that it explains.
    pub crashes: u32,
}

/// Suspects of a crash that a later success has refuted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RefutedSuspects {
    /// Crash that had the suspects.
    pub id: UpstreamProcess,
    /// Features that did not cause it.
    pub features: Vec<RequestFeature>,
}

/// Crash, and what is known since.
#[derive(Debug, Clone)]
struct KnownCrash {
    record: CrashRecord,
    /// True if other entries knew the crash long before this one and refuted suspects.
    learnt_late: bool,
    /// Time of the first success of a request of the service that was sent after the
    /// crash; without one, no engine may be left to run any request.
    later_success_at: Option<MonoMs>,
}

/// Crashes of engines, and features of which requests succeeded.
#[derive(Debug, Clone, Default)]
pub struct CrashHistory {
    settings: CrashHistorySettings,
    crashes: BTreeMap<UpstreamProcess, KnownCrash>,
    /// Time of the first success by service.
    observed_since: HashMap<u64, MonoMs>,
    /// Latest time at which a request with the feature was sent that succeeded.
    sound: HashMap<RequestFeature, MonoMs>,
    sound_cleaned_at: MonoMs,
    blocked: BTreeMap<RequestFeature, BlockedFeature>,
    evaluated_at: MonoMs,
    evaluate_at: MonoMs,
}

impl CrashHistory {
    /// Creates an empty history.
    #[must_use]
    pub fn new(settings: CrashHistorySettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Records a crash, or adds suspects to a known one; returns true if the crash is new.
    pub fn record(&mut self, record: &CrashRecord, now: MonoMs) -> bool {
        let suspects_max = self.settings.suspects_max;
        if let Some(known) = self.crashes.get_mut(&record.id) {
            if known.record.add_suspects(&record.suspects, suspects_max) {
                self.evaluate_soon();
            }
            return false;
        }
        self.evaluate_soon();
        if self.crashes.len() >= self.settings.records_max
            && let Some(id) = self.least_useful_record()
        {
            self.crashes.remove(&id);
        }
        let mut stored = CrashRecord {
            suspects: Vec::new(),
            ..*record
        };
        stored.add_suspects(&record.suspects, self.settings.suspects_max);
        let known = KnownCrash {
            record: stored,
            learnt_late: record.reviewed && now.since_ms(record.at) >= self.settings.refuted_ms,
            later_success_at: None,
        };
        self.crashes.insert(record.id, known);
        true
    }

    /// Returns the oldest crash that no blocked feature explains, or the oldest one.
    fn least_useful_record(&self) -> Option<UpstreamProcess> {
        let records = self.crashes.values().map(|crash| &crash.record);
        let oldest = records.min_by_key(|record| {
            let is_explained = self.blocked.keys().any(|feature| record.has(*feature));
            (is_explained, record.at)
        });
        oldest.map(|record| record.id)
    }

    /// Records that a request that was sent at `sent_at` succeeded. Its features did not
    /// cause the crashes before that time; returns those suspects that this refutes.
    pub fn record_success(
        &mut self,
        features: &RequestFeatures,
        sent_at: MonoMs,
        now: MonoMs,
    ) -> Vec<RefutedSuspects> {
        let service = features.whole.service();
        self.observed_since.entry(service).or_insert(now);
        for feature in features.shared() {
            self.remember_success(*feature, sent_at, now);
        }
        let mut all_refuted = Vec::new();
        for crash in self.crashes.values_mut() {
            let record = &mut crash.record;
            if sent_at <= record.at || !record.is_of(service) {
                continue;
            }
            crash.later_success_at.get_or_insert(now);
            let is_refuted = |suspect: &Suspect| features.iter().any(|f| f == suspect.feature);
            let refuted: Vec<RequestFeature> = record
                .suspects
                .extract_if(.., |suspect| is_refuted(suspect))
                .map(|suspect| suspect.feature)
                .collect();
            if !refuted.is_empty() {
                all_refuted.push(RefutedSuspects {
                    id: record.id,
                    features: refuted,
                });
            }
        }
        for feature in all_refuted.iter().flat_map(|refuted| &refuted.features) {
            // An agent may send the record again before it learns of the success.
            self.mark_sound(*feature, sent_at);
        }
        if !all_refuted.is_empty() {
            self.evaluate_soon();
        }
        all_refuted
    }

    /// Records that another entry has refuted suspects of a crash.
    pub fn record_refuted(&mut self, refuted: &RefutedSuspects, now: MonoMs) {
        let Some(crash) = self.crashes.get_mut(&refuted.id) else {
            return;
        };
        crash.later_success_at.get_or_insert(now);
        crash
            .record
            .suspects
            .retain(|suspect| !refuted.features.contains(&suspect.feature));
        let succeeded_at = crash.record.at.plus_ms(1);
        for feature in &refuted.features {
            self.mark_sound(*feature, succeeded_at);
        }
        self.evaluate_soon();
    }

    fn evaluate_soon(&mut self) {
        let earliest = self.evaluated_at.plus_ms(EVALUATION_INTERVAL_MIN_MS);
        self.evaluate_at = self.evaluate_at.min(earliest);
    }

    /// Records a success of a feature that caused no crash so far, if there is room.
    fn remember_success(&mut self, feature: RequestFeature, sent_at: MonoMs, now: MonoMs) {
        let is_known = self.sound.contains_key(&feature);
        let is_full = self.sound.len() >= self.settings.sound_max;
        let cleaned_ms = now.since_ms(self.sound_cleaned_at);
        if !is_known && is_full && cleaned_ms >= self.settings.sound_cleanup_ms {
            self.sound_cleaned_at = now;
            let retention_ms = self.settings.retention_ms / 10;
            self.sound
                .retain(|_, sent_at| now.since_ms(*sent_at) < retention_ms);
        }
        if is_known || self.sound.len() < self.settings.sound_max {
            self.mark_sound(feature, sent_at);
        }
    }

    fn mark_sound(&mut self, feature: RequestFeature, sent_at: MonoMs) {
        let latest = self.sound.entry(feature).or_insert(sent_at);
        *latest = sent_at.max(*latest);
    }

    /// Returns the feature for which a request must not be sent, if it has one.
    #[must_use]
    pub fn blocked(&self, features: &RequestFeatures) -> Option<RequestFeature> {
        if self.blocked.is_empty() {
            return None;
        }
        features
            .iter()
            .find(|feature| self.blocked.contains_key(feature))
    }

    /// Returns whether a request may be retried: it is not blocked, and few crashes have
    /// interrupted it that nothing has refuted as their cause.
    #[must_use]
    pub fn allows_retry(&self, features: &RequestFeatures) -> bool {
        let suspected = self.crashes.values().filter(|crash| {
            let succeeded = self.sound.get(&features.whole());
            crash.record.has(features.whole())
                && succeeded.is_none_or(|sent_at| *sent_at <= crash.record.at)
        });
        suspected.count() < self.settings.request_retry_limit as usize
            && self.blocked(features).is_none()
    }

    /// Evaluates the crashes again if necessary; returns the features that were not
    /// blocked before.
    pub fn refresh(&mut self, now: MonoMs) -> Vec<BlockedFeature> {
        if now < self.evaluate_at || self.crashes.is_empty() && self.blocked.is_empty() {
            return Vec::new();
        }
        self.evaluated_at = now;
        self.evaluate_at = now.plus_ms(EVALUATION_INTERVAL_MS);
        let retention_ms = self.settings.retention_ms;
        self.crashes
            .retain(|_, crash| now.since_ms(crash.record.at) < retention_ms);
        let blocked = self.explain_crashes(now);
        let before = std::mem::replace(&mut self.blocked, blocked);
        let added = self.blocked.values();
        added
            .filter(|blocked| !before.contains_key(&blocked.suspect.feature))
            .copied()
            .collect()
    }

    /// Returns a small set of features that explains the crashes: repeatedly the one that
    /// explains most of the remaining crashes; of several one that never succeeded, then
    /// the most specific one. A sound part that merely occurs beside the cause is left with
    /// too few crashes.
    fn explain_crashes(&self, now: MonoMs) -> BTreeMap<RequestFeature, BlockedFeature> {
        let mut blocked = BTreeMap::new();
        let mut unexplained: Vec<&KnownCrash> = self.crashes.values().collect();
        unexplained.sort_by_key(|crash| crash.record.at);
        while let Some(cause) = self.most_frequent_cause(&unexplained, now) {
            let feature = cause.suspect.feature;
            unexplained.retain(|crash| !crash.record.has(feature));
            blocked.insert(feature, cause);
        }
        blocked
    }

    /// Returns the feature that explains most of the crashes, if these reach its limit;
    /// `crashes` are ordered by time.
    fn most_frequent_cause(&self, crashes: &[&KnownCrash], now: MonoMs) -> Option<BlockedFeature> {
        let mut tallies: HashMap<RequestFeature, Tally> = HashMap::new();
        for crash in crashes {
            for suspect in &crash.record.suspects {
                if !self.counts_against(suspect.feature, crash, now) {
                    continue;
                }
                let tally = tallies.entry(suspect.feature).or_default();
                tally.depth = tally.depth.max(suspect.depth);
                let distinct_ms = if suspect.depth == WHOLE_REQUEST_DEPTH {
                    self.settings.request_distinct_ms
                } else {
                    self.settings.distinct_ms
                };
                tally.count(crash.record.at, distinct_ms);
            }
        }
        tallies
            .into_iter()
            .filter(|(_, tally)| tally.crashes >= self.crash_limit(tally.depth))
            .max_by_key(|(feature, tally)| {
                let never_succeeded = !self.sound.contains_key(feature);
                (tally.crashes, never_succeeded, tally.depth, *feature)
            })
            .map(|(feature, tally)| BlockedFeature {
                suspect: Suspect {
                    feature,
                    depth: tally.depth,
                },
                crashes: tally.crashes,
            })
    }

    /// Returns whether a crash counts against one of its suspects.
    fn counts_against(&self, feature: RequestFeature, crash: &KnownCrash, now: MonoMs) -> bool {
        let crashed_at = crash.record.at;
        let succeeded = self.sound.get(&feature);
        if succeeded.is_some_and(|sent_at| *sent_at > crashed_at) {
            return false;
        }
        let observed_since = self.observed_since.get(&feature.service());
        let observed_ms = observed_since.map_or(0, |since| crashed_at.since_ms(*since));
        let is_settled = crash.learnt_late || observed_ms >= self.settings.observe_ms;
        if succeeded.is_none() && is_settled {
            return true;
        }
        crash
            .later_success_at
            .is_some_and(|at| now.since_ms(at) >= self.settings.settle_ms)
    }

    const fn crash_limit(&self, depth: u8) -> u32 {
        if depth == WHOLE_REQUEST_DEPTH {
            self.settings.request_crash_limit
        } else {
            self.settings.part_crash_limit
        }
    }
}

/// Crashes that a feature may explain.
#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    depth: u8,
    crashes: u32,
    last_counted_at: Option<MonoMs>,
}

impl Tally {
    /// Counts a crash, unless one was counted shortly before.
    fn count(&mut self, at: MonoMs, distinct_ms: u64) {
        let is_distinct = self
            .last_counted_at
            .is_none_or(|last| at.since_ms(last) >= distinct_ms);
        if is_distinct {
            self.crashes += 1;
            self.last_counted_at = Some(at);
        }
    }
}
