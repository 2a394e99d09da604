//! Events 8000 to 8999: platform services.

super::events! {
    /// The table service does not answer.
    TABLE_UNAVAILABLE = 8000, Warn, "the table service does not answer; configuration stays at its revision", "see the page on store outages in docs/OPERATIONS.md";
}
