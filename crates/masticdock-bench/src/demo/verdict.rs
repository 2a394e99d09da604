//! Checks the results of the demo and prints its verdict.

use std::collections::BTreeMap;
use std::time::Duration;

use masticdock_standins::LedgerPage;

use super::callers::Tally;

/// Maximum of copies read from the origin per region at weighting 0, in percent of a copy.
const ORIGIN_COPIES_PER_REGION_PERCENT: u64 = 105;

/// Results of the demo.
#[derive(Debug)]
pub(super) struct Verdict {
    pub(super) replicas: usize,
    pub(super) regions: usize,
    /// Number of VMs that serve the new version.
    pub(super) on_new_version: u32,
    pub(super) time_to_replicas: Duration,
    pub(super) origin_bytes: u64,
    pub(super) weights_bytes: u64,
    /// Number of orders that ran more than once.
    pub(super) orders_run_twice: usize,
    pub(super) tally: Tally,
}

/// Returns the number of idempotency keys whose request ran more than once.
pub(super) fn count_repeated_keys(page: &LedgerPage) -> usize {
    let mut runs: BTreeMap<&str, usize> = BTreeMap::new();
    for entry in &page.entries {
        *runs.entry(entry.user.as_str()).or_default() += 1;
    }
    runs.values().filter(|count| **count > 1).count()
}

impl Verdict {
    /// Returns whether all expectations of the demo are met.
    fn holds(&self) -> bool {
        let both_versions = ["v1", "v2"]
            .iter()
            .all(|version| self.tally.by_version.contains_key(*version));
        let origin_bytes_max =
            self.regions as u64 * self.weights_bytes * ORIGIN_COPIES_PER_REGION_PERCENT / 100;
        self.on_new_version as usize == self.replicas
            && self.tally.lost() == 0
            && self.tally.failures.is_empty()
            && self.orders_run_twice == 0
            && self.origin_bytes <= origin_bytes_max
            && both_versions
    }

    /// Prints the failures and totals, then the verdict in one line; returns whether it holds.
    pub(super) fn print(&self) -> bool {
        for failure in &self.tally.failures {
            println!("failure: {failure}");
        }
        for (version, count) in &self.tally.by_version {
            println!("whole answers of {version}: {count}");
        }
        let holds = self.holds();
        let origin_copies_percent = self.origin_bytes * 100 / self.weights_bytes;
        println!(
            "{}: {} of {} VMs on the new version in {:.1} s, origin read {}.{:02} copies for {} regions, \
             requests {} sent / {} whole / {} lost ({} refused unrun and sent again), {} orders run twice",
            if holds { "PASS" } else { "FAIL" },
            self.on_new_version,
            self.replicas,
            self.time_to_replicas.as_secs_f64(),
            origin_copies_percent / 100,
            origin_copies_percent % 100,
            self.regions,
            self.tally.sent,
            self.tally.complete_count,
            self.tally.lost(),
            self.tally.retried,
            self.orders_run_twice,
        );
        holds
    }
}
