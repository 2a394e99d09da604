//! Events 8000 to 8999: platform services.

super::events! {
    /// The table service does not answer.
    TABLE_UNAVAILABLE = 8000, Warn, "the table service does not answer; the configuration stays at its revision", "see the page on store outages in docs/OPERATIONS.md";
    /// The table service answers again.
    TABLE_AVAILABLE = 8001, Info, "the table service answers again", "none";
    /// The fleet view does not answer.
    FLEET_VIEW_UNAVAILABLE = 8010, Warn, "the fleet view does not answer; liveness is decided by probes alone", "none, unless it persists; new VMs are discovered late";
    /// The fleet view answers again.
    FLEET_VIEW_AVAILABLE = 8011, Info, "the fleet view answers again", "none";
    /// An entry of the fleet view cannot be read.
    FLEET_ENTRY_UNREADABLE = 8012, Warn, "an entry of the fleet view cannot be read and is passed over; a known VM keeps its last entry", "find the writer of the entry; the VM named is not followed until it is correct";
}
