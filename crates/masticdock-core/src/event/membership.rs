//! Events 3000 to 3999: membership.

super::events! {
    /// A member was declared dead.
    MEMBER_DEAD = 3000, Warn, "a member answers no probes and is treated as dead", "none, unless many follow in one availability zone";
}
