//! How many chunks a VM reads at the same time, on links of several rates, and
//! how much of a link between regions chunks take.

use masticdock_core::transfer::{ReadWindow, cross_region_rate};
use masticdock_core::units::MonoMs;

const CHUNK_BITS: f64 = 49_152.0 * 8.0;

/// Reads `chunks` over a link that chunks share equally; returns the time it
/// took and the longest body, in milliseconds.
fn read(window: &mut ReadWindow, link_mbps: f64, chunks: usize) -> (f64, f64) {
    let alone_ms = CHUNK_BITS / (link_mbps * 1_000.0);
    let (mut now_ms, mut longest_ms) = (0.0_f64, 0.0_f64);
    let mut left = chunks;
    while left > 0 {
        let together = window.concurrent_reads().min(left);
        #[allow(clippy::cast_precision_loss)]
        let body_ms = alone_ms * together as f64;
        now_ms += body_ms;
        longest_ms = longest_ms.max(body_ms);
        for _ in 0..together {
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            window.record(body_ms, MonoMs(now_ms as u64));
        }
        left -= together;
    }
    (now_ms, longest_ms)
}

/// Guards against requests of callers that wait behind a queue of chunks.
#[test]
fn the_queue_on_an_agents_link_stays_short() {
    let mut window = ReadWindow::default();
    let (_, longest_ms) = read(&mut window, 9.4, 480);
    assert!(longest_ms < 180.0, "{longest_ms}");
}

/// Guards against several chunks at once on a link that one of them fills for
/// a third of a second.
#[test]
fn a_squeezed_link_carries_one_chunk_at_a_time() {
    let mut window = ReadWindow::default();
    read(&mut window, 1.2, 12);
    assert_eq!(window.concurrent_reads(), 1);
}

/// Guards against a window that stays small on a link with room.
#[test]
fn a_wide_link_is_used() {
    let mut window = ReadWindow::default();
    read(&mut window, 1_000.0, 100);
    assert_eq!(window.concurrent_reads(), 8);
}

/// Guards against a delay that is told long after the last chunk arrived.
#[test]
fn the_delay_fades_after_the_last_chunk() {
    let mut window = ReadWindow::default();
    window.record(300.0, MonoMs(1_000));
    assert!(window.delay_ms(MonoMs(1_000)) > 100.0);
    assert!(window.delay_ms(MonoMs(3_000)) < 1.0);
}

/// Bytes a second of the thinnest link between regions, 25 Mbit/s.
const REGION_LINK_BYTES_PER_S: u64 = 3_125_000;

/// Guards against requests that cross between regions behind a second of chunks:
/// they began on a version past its end (`VERSION`, seed 23944739482 of
/// `deploy/days/squeeze-two-versions-power.toml` on ospina-dress).
#[test]
fn chunks_leave_room_on_the_link_between_regions() {
    for senders in 1..=24 {
        let total = cross_region_rate(senders).0 * senders as u64;
        assert!(total < REGION_LINK_BYTES_PER_S, "{senders} senders");
        if senders <= 12 {
            assert!(total <= REGION_LINK_BYTES_PER_S / 2, "{senders} senders");
        }
    }
}
