//! Events 5000 to 5999: switching of versions.

super::events! {
    /// A VM serves a new version.
    VERSION_SERVING = 5000, Info, "this VM serves a new version", "none";
}
