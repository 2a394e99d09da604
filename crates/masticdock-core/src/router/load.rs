//! Load of an upstream as one entry sees it.

/// Load of one upstream: a late report and the own requests in progress.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadView {
    /// Requests in progress at the upstream when it last reported.
    reported: u32,
    /// Own requests in progress when that report arrived; the report holds them.
    own_at_report: u32,
    /// Own requests in progress now.
    own: u32,
}

impl LoadView {
    /// Counts one more own request.
    pub const fn begin(&mut self) {
        self.own = self.own.saturating_add(1);
    }

    /// Counts one own request less.
    pub const fn end(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// Takes a report of the upstream.
    pub const fn report(&mut self, reported: u32) {
        self.reported = reported;
        self.own_at_report = self.own;
    }

    /// Returns the own requests in progress.
    #[must_use]
    pub const fn own(&self) -> u32 {
        self.own
    }

    /// Returns the estimated load: that of others as reported, and the own one.
    #[must_use]
    pub const fn estimate(&self) -> u32 {
        let others = self.reported.saturating_sub(self.own_at_report);
        others.saturating_add(self.own)
    }
}
