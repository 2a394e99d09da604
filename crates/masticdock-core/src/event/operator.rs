//! Events 7000 to 7999: operator access.

super::events! {
    /// An operator request was refused for a missing or wrong token.
    OPERATOR_REFUSED = 7000, Warn, "an operator request had no valid token", "check the token file; repeated events from one address may be an intrusion";
}
