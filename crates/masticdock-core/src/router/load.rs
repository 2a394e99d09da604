//! Load of an upstream as one entry sees it.

/// Load of one upstream: a late report and the own requests in progress.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadEstimate {
    /// Requests in progress at the upstream when it last reported.
    reported: u32,
    /// Own requests in progress when that report arrived; the report holds them.
    own_in_flight_at_report: u32,
    /// Own requests in progress now.
    own_in_flight: u32,
}

impl LoadEstimate {
    /// Counts one more own request.
    pub const fn begin_request(&mut self) {
        self.own_in_flight = self.own_in_flight.saturating_add(1);
    }

    /// Counts one own request less.
    pub const fn end_request(&mut self) {
        self.own_in_flight = self.own_in_flight.saturating_sub(1);
    }

    /// Takes a report of the upstream.
    pub const fn record_report(&mut self, reported: u32) {
        self.reported = reported;
        self.own_in_flight_at_report = self.own_in_flight;
    }

    /// Returns the own requests in progress.
    #[must_use]
    pub const fn own_in_flight(&self) -> u32 {
        self.own_in_flight
    }

    /// Returns the estimated load: that of others as reported, and the own one.
    #[must_use]
    pub const fn estimate(&self) -> u32 {
        let others = self.reported.saturating_sub(self.own_in_flight_at_report);
        others.saturating_add(self.own_in_flight)
    }
}
