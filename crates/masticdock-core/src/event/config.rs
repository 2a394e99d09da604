//! Events 2000 to 2999: configuration.

super::events! {
    /// A configuration revision came into force.
    CONFIG_APPLIED = 2000, Info, "a configuration revision is in force on this process", "none";
    /// A whole configuration was adopted.
    CONFIG_ADOPTED = 2001, Info, "a process adopted a whole configuration from the table or from a peer", "none";
    /// A configuration was adopted from a peer.
    CONFIG_ADOPTED_FROM_PEER = 2002, Info, "the table is down and a starting process adopts the highest revision of several peers", "none; see the page on store outages in docs/OPERATIONS.md";
    /// Changes are missing.
    CONFIG_GAP = 2003, Warn, "a change arrived before those that it follows; they are read from a peer or the table", "none; if it repeats, look at the table service";
}
