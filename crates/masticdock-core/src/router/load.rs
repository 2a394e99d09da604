//! Load of an upstream, as estimated by one entry.

/// Load of one upstream, estimated from its last report, which may be stale, and
/// from this entry's own requests in flight there.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadEstimate {
    /// Requests in flight at the upstream according to its last report.
    reported: u32,
    /// Own requests in flight when that report arrived; the report counts them.
    own_in_flight_at_report: u32,
    /// Own requests in flight now.
    own_in_flight: u32,
}

impl LoadEstimate {
    /// Counts an own request as in flight.
    pub const fn begin_request(&mut self) {
        self.own_in_flight = self.own_in_flight.saturating_add(1);
    }

    /// Counts an own request as no longer in flight.
    pub const fn end_request(&mut self) {
        self.own_in_flight = self.own_in_flight.saturating_sub(1);
    }

    /// Records the number of requests in flight that the upstream reported.
    pub const fn record_report(&mut self, reported: u32) {
        self.reported = reported;
        self.own_in_flight_at_report = self.own_in_flight;
    }

    /// Returns the number of own requests in flight.
    #[must_use]
    pub const fn own_in_flight(&self) -> u32 {
        self.own_in_flight
    }

    /// Returns the estimated number of requests in flight at the upstream: those of
    /// other entries as last reported, plus the own ones now.
    #[must_use]
    pub const fn estimate(&self) -> u32 {
        let others = self.reported.saturating_sub(self.own_in_flight_at_report);
        others.saturating_add(self.own_in_flight)
    }
}
