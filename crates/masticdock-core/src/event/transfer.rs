//! Events 4000 to 4999: transfer of weights.

super::events! {
    /// A chunk failed its digest check.
    CHUNK_CORRUPT = 4000, Warn, "a chunk did not match its digest and was dropped", "none; if one sender is named often, replace that VM";
}
