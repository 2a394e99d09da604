//! Events 2000 to 2999: configuration.

super::events! {
    /// A configuration revision came into force.
    CONFIG_APPLIED = 2000, Info, "a configuration revision is in force on this process", "none";
}
