//! Messages between masticdock processes: generated Cap'n Proto code and its
//! conversions to the types of `masticdock-core`.

/// Code generated from `schema/peer.capnp` by `generate.sh`.
#[allow(clippy::all, clippy::pedantic, missing_docs, unreachable_pub)]
pub mod peer_capnp;
