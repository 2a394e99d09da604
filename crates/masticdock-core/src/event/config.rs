//! Events 2000 to 2999: configuration.

super::events! {
    /// A configuration revision was applied.
    CONFIG_APPLIED = 2000, Info, "this process applied a configuration revision", "none";
    /// A complete configuration was adopted.
    CONFIG_ADOPTED = 2001, Info, "this process adopted a complete configuration from the table or from a peer", "none";
    /// A configuration was adopted from a peer during a table outage.
    CONFIG_ADOPTED_FROM_PEER = 2002, Info, "the table service is unavailable; this starting process adopted the highest revision among several peers", "none; see the page on store outages in docs/OPERATIONS.md";
    /// A change arrived before its predecessors.
    CONFIG_GAP = 2003, Warn, "a change arrived before its predecessors, which are now read from a peer or the table", "none; if it recurs, check the table service";
    /// A row of the configuration cannot be read.
    CONFIG_ROW_UNREADABLE = 2004, Warn, "a row of the configuration cannot be read and is passed over", "find the writer of the row named and delete or correct it";
}
