//! Tests of the staggered start of entries at an upstream that returns without load.

use compact_str::CompactString;
use masticdock_core::serving::EntryStagger;
use masticdock_core::units::MonoMs;

const PREFILL_MS: u64 = 47;
const USABLE_SINCE: MonoMs = MonoMs(60_000);

fn entries(count: usize) -> Vec<CompactString> {
    (0..count)
        .map(|index| format!("10.0.0.{index}:7000").into())
        .collect()
}

fn delays_ms(stagger: &EntryStagger, entries: &[CompactString], now: MonoMs) -> Vec<u64> {
    entries
        .iter()
        .map(|entry| stagger.start_delay_ms(entry, now))
        .collect()
}

/// Guards against two entries that start to send at the same time.
#[test]
fn entries_start_one_prefill_apart() {
    let entries = entries(8);
    let stagger = EntryStagger::new(&entries, PREFILL_MS, USABLE_SINCE);
    let mut delays_ms = delays_ms(&stagger, &entries, USABLE_SINCE);
    delays_ms.sort_unstable();
    let expected: Vec<u64> = (0..8).map(|position| position * PREFILL_MS).collect();
    assert_eq!(delays_ms, expected);
}

/// Guards against an entry that is delayed indefinitely, or an entry that joined later
/// and waits although it has no place in the order.
#[test]
fn start_delays_end_and_do_not_apply_to_later_entries() {
    let entries = entries(8);
    let stagger = EntryStagger::new(&entries, PREFILL_MS, USABLE_SINCE);
    let all_started = delays_ms(&stagger, &entries, USABLE_SINCE.plus_ms(7 * PREFILL_MS));
    assert_eq!(all_started, [0; 8]);
    assert_eq!(stagger.start_delay_ms("10.0.0.99:7000", USABLE_SINCE), 0);
}

/// Guards against the same entry always being the last to start.
#[test]
fn the_order_differs_each_time_the_upstream_becomes_usable() {
    let entries = entries(8);
    let mut firsts = Vec::new();
    for usable_since_ms in 60_000..60_050 {
        let usable_since = MonoMs(usable_since_ms);
        let stagger = EntryStagger::new(&entries, PREFILL_MS, usable_since);
        let first = entries
            .iter()
            .position(|entry| stagger.start_delay_ms(entry, usable_since) == 0);
        firsts.push(first.unwrap());
    }
    firsts.sort_unstable();
    firsts.dedup();
    assert!(firsts.len() >= 6, "{firsts:?}");
}
