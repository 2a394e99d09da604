//! Quantiles and figures of the machine.

/// Returns a quantile by the nearest rank; 0 for no values.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "ranks are small and not negative"
)]
pub(super) fn quantile_ms(values: &[f64], quantile: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    if sorted.is_empty() {
        return 0.0;
    }
    let rank = (quantile * sorted.len() as f64).ceil() as usize;
    let value = sorted[rank.clamp(1, sorted.len()) - 1];
    (value * 1_000.0).round() / 1_000.0
}

/// Returns the machine's load average over one minute.
pub(super) fn machine_load() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let first = text.split(' ').next().unwrap_or("");
    first.parse().unwrap_or(0.0)
}
