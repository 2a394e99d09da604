//! Events 4000 to 4999: transfer of weights.

super::events! {
    /// A chunk failed its digest check.
    CHUNK_CORRUPT = 4000, Warn, "a chunk did not match its digest and was dropped", "none; if one sender is named often, replace that VM";
    /// A read from the origin failed.
    ORIGIN_READ_FAILED = 4001, Warn, "a read from the origin failed and is repeated", "if it goes on, check the origin and the link of the region";
    /// A copy is complete.
    COPY_VERIFIED = 4002, Info, "a copy is complete and matches its root digest", "none";
    /// A manifest contradicts itself.
    COPY_ROOT_MISMATCH = 4003, Error, "all chunks match their digests but the whole does not match the manifest", "publish the version again with a correct manifest";
    /// A sender gave nothing in time.
    SENDER_STALLED = 4004, Warn, "a sender gave no chunk in time and another one was asked", "none; if one sender is named often, check its link";
}
