//! Number of chunks that a VM reads at the same time on links of several rates,
//! and the share of a cross-region link that chunks may take.

use masticdock_core::transfer::{ReadWindow, cross_region_rate};
use masticdock_core::units::MonoMs;

const CHUNK_BITS: f64 = 49_152.0 * 8.0;

/// Simulates reads of `chunks` chunks over a link that concurrent reads share
/// equally. Returns the total time and the longest transfer time of a body, in
/// milliseconds.
fn simulate_reads(window: &mut ReadWindow, link_mbps: f64, chunks: usize) -> (f64, f64) {
    let single_body_ms = CHUNK_BITS / (link_mbps * 1_000.0);
    let (mut now_ms, mut longest_ms) = (0.0_f64, 0.0_f64);
    let mut remaining = chunks;
    while remaining > 0 {
        let concurrent = window.concurrent_reads().min(remaining);
        #[allow(clippy::cast_precision_loss)]
        let body_ms = single_body_ms * concurrent as f64;
        now_ms += body_ms;
        longest_ms = longest_ms.max(body_ms);
        for _ in 0..concurrent {
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            window.record(body_ms, MonoMs(now_ms as u64));
        }
        remaining -= concurrent;
    }
    (now_ms, longest_ms)
}

/// Guards against requests of callers that wait behind a queue of chunks on the
/// agent's link.
#[test]
fn read_window_keeps_the_queue_on_the_link_short() {
    let mut window = ReadWindow::default();
    let (_, longest_ms) = simulate_reads(&mut window, 9.4, 480);
    assert!(longest_ms < 180.0, "{longest_ms}");
}

/// Guards against concurrent reads over a link on which a single chunk takes a
/// third of a second.
#[test]
fn slow_link_carries_one_chunk_at_a_time() {
    let mut window = ReadWindow::default();
    simulate_reads(&mut window, 1.2, 12);
    assert_eq!(window.concurrent_reads(), 1);
}

/// Guards against a window that stays small on a link with spare capacity.
#[test]
fn fast_link_uses_the_largest_window() {
    let mut window = ReadWindow::default();
    simulate_reads(&mut window, 1_000.0, 100);
    assert_eq!(window.concurrent_reads(), 8);
}

/// Guards against a delay that is still reported long after the last chunk
/// arrived.
#[test]
fn delay_decays_after_the_last_chunk() {
    let mut window = ReadWindow::default();
    window.record(300.0, MonoMs(1_000));
    assert!(window.delay_ms(MonoMs(1_000)) > 100.0);
    assert!(window.delay_ms(MonoMs(3_000)) < 1.0);
}

/// Rate of the slowest cross-region link, 25 Mbit/s.
const REGION_LINK_BYTES_PER_S: u64 = 3_125_000;

/// Guards against cross-region requests that queue behind a second of chunks and
/// so start on a version after its end (`VERSION` violation, seed 23944739482 of
/// `deploy/days/squeeze-two-versions-power.toml` on ospina-dress).
#[test]
fn chunks_leave_capacity_on_the_cross_region_link() {
    for senders in 1..=200 {
        let total = cross_region_rate(senders).0 * senders as u64;
        assert!(total < REGION_LINK_BYTES_PER_S, "{senders} senders");
        if senders <= 12 {
            assert!(total <= REGION_LINK_BYTES_PER_S / 2, "{senders} senders");
        }
    }
}
