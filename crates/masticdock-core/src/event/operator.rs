//! Events 7000 to 7999: operator access.

super::events! {
    /// An operator request was rejected for a missing or wrong token.
    OPERATOR_UNAUTHORIZED = 7000, Warn, "an operator request had no valid token", "check the token file; repeated events from one address may be an intrusion";
    /// A configuration change was accepted.
    CHANGE_ACCEPTED = 7001, Info, "a configuration change was accepted", "none";
    /// A configuration change conflicts with another one.
    CHANGE_CONFLICT = 7002, Info, "a configuration change was rejected, because another one changed the same resource", "read the other change and propose again";
    /// The outcome of a configuration change is unknown.
    CHANGE_OUTCOME_UNKNOWN = 7003, Warn, "it is unknown whether a configuration change took effect, because the response of the table service was lost", "send the change again with the same id, or look for the id in `masticdock audit`";
    /// A configuration change could not be written.
    CHANGE_TABLE_UNAVAILABLE = 7004, Warn, "a configuration change was rejected, because the table service does not answer", "see the page on store outages in docs/OPERATIONS.md";
}
