//! Events 2000 to 2999: configuration.

super::events! {
    /// A configuration revision came into force.
    CONFIG_APPLIED = 2000, Info, "a configuration revision is in force on this process", "none";
    /// A whole configuration was adopted.
    CONFIG_ADOPTED = 2001, Info, "a process adopted a whole configuration from the table or from a peer", "none";
}
