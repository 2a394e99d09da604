//! Events 4000 to 4999: transfer of weights.

super::events! {
    /// A chunk failed its digest check.
    CHUNK_CORRUPT = 4000, Warn, "a chunk did not match its digest and was dropped", "none; if one sender is named often, replace that VM";
    /// A read from the origin failed.
    ORIGIN_READ_FAILED = 4001, Warn, "a read from the origin failed and is retried", "if it recurs, check the origin and the link of the region";
    /// A copy is complete and verified.
    COPY_VERIFIED = 4002, Info, "a copy is complete and matches its root digest", "none";
    /// The chunk digests and the root digest of a manifest contradict each other.
    COPY_ROOT_MISMATCH = 4003, Error, "all chunks match their digests, but the complete copy does not match the root digest of the manifest", "publish the version again with a correct manifest";
    /// A sender did not deliver a chunk within the timeout.
    SENDER_STALLED = 4004, Warn, "a sender did not deliver a chunk in time; the chunk is requested from another one", "none; if one sender is named often, check its link";
}
