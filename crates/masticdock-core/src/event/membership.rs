//! Events 3000 to 3999: membership.

super::events! {
    /// A member was declared dead.
    MEMBER_DEAD = 3000, Warn, "a member answers no probes and is treated as dead", "none, unless many follow in one availability zone";
    /// A region is cut off.
    REGION_UNREACHABLE = 3001, Warn, "most of a region became unreachable at once; its members are kept and not routed to", "check the links between regions; event 3002 follows";
    /// A region returned.
    REGION_REACHABLE = 3002, Info, "a region that was cut answers again", "none";
}
