//! Events 6000 to 6999: requests.

super::events! {
    /// A request ended with an unknown outcome.
    REQUEST_UNKNOWN = 6000, Warn, "a request ended with an unknown outcome", "look at the upstream named; the caller was told";
}
