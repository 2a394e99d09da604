//! In which order entries begin to send to an upstream that comes back empty.

use compact_str::CompactString;
use masticdock_core::serving::EntryStagger;
use masticdock_core::units::MonoMs;

const STEP_MS: u64 = 47;
const SINCE: MonoMs = MonoMs(60_000);

fn entries(count: usize) -> Vec<CompactString> {
    (0..count)
        .map(|index| format!("10.0.0.{index}:7000").into())
        .collect()
}

fn waits(turns: &EntryStagger, entries: &[CompactString], now: MonoMs) -> Vec<u64> {
    entries
        .iter()
        .map(|entry| turns.start_delay_ms(entry, now))
        .collect()
}

/// Guards against two entries that begin at the same moment.
#[test]
fn entries_begin_one_prompt_apart() {
    let entries = entries(8);
    let turns = EntryStagger::new(&entries, STEP_MS, SINCE);
    let mut waits = waits(&turns, &entries, SINCE);
    waits.sort_unstable();
    let expected: Vec<u64> = (0..8).map(|position| position * STEP_MS).collect();
    assert_eq!(waits, expected);
}

/// Guards against an entry that is held off for good, or one that came later and
/// waits for a turn that nobody gave it.
#[test]
fn turns_pass_and_do_not_bind_later_entries() {
    let entries = entries(8);
    let turns = EntryStagger::new(&entries, STEP_MS, SINCE);
    let all_begun = waits(&turns, &entries, SINCE.plus_ms(7 * STEP_MS));
    assert_eq!(all_begun, [0; 8]);
    assert_eq!(turns.start_delay_ms("10.0.0.99:7000", SINCE), 0);
}

/// Guards against the same entry being the last one at every upstream.
#[test]
fn the_order_differs_from_one_return_to_the_next() {
    let entries = entries(8);
    let mut firsts = Vec::new();
    for since_ms in 60_000..60_050 {
        let since = MonoMs(since_ms);
        let turns = EntryStagger::new(&entries, STEP_MS, since);
        let first = entries
            .iter()
            .position(|entry| turns.start_delay_ms(entry, since) == 0);
        firsts.push(first.unwrap());
    }
    firsts.sort_unstable();
    firsts.dedup();
    assert!(firsts.len() >= 6, "{firsts:?}");
}
