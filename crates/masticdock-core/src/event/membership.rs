//! Events 3000 to 3999: membership.

super::events! {
    /// A member was declared dead.
    MEMBER_DEAD = 3000, Warn, "a member does not answer probes and is treated as dead", "none, unless there are many in one availability zone";
    /// A region became unreachable.
    REGION_UNREACHABLE = 3001, Warn, "most of a region became unreachable at once; its members are kept, but receive no requests", "check the links between regions; event 3002 follows";
    /// A region is reachable again.
    REGION_REACHABLE = 3002, Info, "an unreachable region answers again", "none";
}
