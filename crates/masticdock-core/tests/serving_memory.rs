//! Division of the memory limit and the account of buffers.

use masticdock_core::serving::{BufferAccount, BufferAccountSettings, BufferId, MemoryShares};
use masticdock_core::units::MonoMs;

const MIB: usize = 1 << 20;
const BODY_BYTES: usize = 4 * MIB;

fn account(memory_mb: u64) -> BufferAccount {
    let shares = MemoryShares::new(memory_mb << 20);
    BufferAccount::new(BufferAccountSettings {
        bytes_max: shares.request_bodies_bytes,
        reserve_bytes: shares.short_buffers_bytes,
        ..BufferAccountSettings::default()
    })
}

fn fill(account: &mut BufferAccount, bytes: usize, now: MonoMs) -> Option<BufferId> {
    let id = account.begin(now);
    account.grow(id, bytes).then_some(id)
}

#[test]
fn shares_leave_room_in_processes_of_any_size() {
    for memory_mb in [64, 160, 512, u64::MAX >> 20] {
        let memory_bytes = memory_mb << 20;
        let shares = MemoryShares::new(memory_bytes);
        let sum = shares.request_bodies_bytes
            + shares.responses_bytes
            + 2 * shares.short_buffers_bytes
            + shares.connections_bytes;
        assert!(sum as u64 <= memory_bytes / 32 * 27, "{memory_mb} MB");
        assert!(shares.request_bodies_bytes >= 2 * BODY_BYTES);
    }
}

/// 100 bodies of the largest size come at once and stop short of their end.
#[test]
fn large_bodies_stay_within_their_share_and_short_ones_fit_beside_them() {
    for memory_mb in [64, 160, 512] {
        let mut account = account(memory_mb);
        let shares = MemoryShares::new(memory_mb << 20);
        let now = MonoMs(0);
        let held: Vec<BufferId> = (0..100)
            .filter_map(|_| fill(&mut account, BODY_BYTES, now))
            .collect();
        assert!(!held.is_empty());
        assert!(account.used_bytes() <= shares.request_bodies_bytes);
        for _ in 0..100 {
            assert!(fill(&mut account, 8 << 10, now).is_some());
        }
        let short = fill(&mut account, 1, now).unwrap();
        assert_eq!(account.find_stalled(short, MonoMs(1_999)), None);
    }
}

#[test]
fn the_reserve_for_short_buffers_is_bounded_too() {
    let mut account = account(160);
    let shares = MemoryShares::new(160 << 20);
    let held = (0..10_000)
        .filter_map(|_| fill(&mut account, 16 << 10, MonoMs(0)))
        .count();
    let bytes_max = shares.request_bodies_bytes + shares.short_buffers_bytes;
    assert_eq!(held, bytes_max / (16 << 10));
}

/// A buffer that trickles counts as stalled, one that receives steadily or is complete does
/// not; nothing is stalled as long as all have just begun.
#[test]
fn the_buffer_without_progress_for_the_longest_is_evicted() {
    let mut account = account(64);
    let trickling = fill(&mut account, BODY_BYTES, MonoMs(100)).unwrap();
    let stopped = fill(&mut account, BODY_BYTES, MonoMs(200)).unwrap();
    let steady = fill(&mut account, MIB, MonoMs(0)).unwrap();
    let complete = fill(&mut account, 20 << 10, MonoMs(0)).unwrap();
    account.finish(complete);
    for second in 1..=4 {
        account.record_received(trickling, 1, MonoMs(second * 1_000));
        account.record_received(steady, 5_000, MonoMs(second * 1_000));
    }
    let late = account.begin(MonoMs(4_000));
    assert!(!account.grow(late, BODY_BYTES));
    let mut evicted = Vec::new();
    while let Some(id) = account.find_stalled(late, MonoMs(4_000)) {
        account.release(id);
        evicted.push(id);
    }
    assert_eq!(evicted, [trickling, stopped]);
    assert!(account.grow(late, BODY_BYTES));
}

#[test]
fn released_buffers_leave_nothing_charged() {
    let mut account = account(64);
    let ids: Vec<BufferId> = (0..50)
        .filter_map(|_| fill(&mut account, 1_000, MonoMs(0)))
        .collect();
    for (index, id) in ids.iter().enumerate() {
        account.grow(*id, index * 10_000);
    }
    for id in ids {
        account.release(id);
        account.release(id);
    }
    assert_eq!(account.used_bytes(), 0);
}
