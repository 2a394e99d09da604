//! Messages between masticdock processes: generated Cap'n Proto code, and conversions between
//! it and the types of `masticdock-core`.

/// Code generated from `schema/peer.capnp` by `generate.sh`.
#[allow(clippy::all, clippy::pedantic, missing_docs, unreachable_pub)]
pub mod peer_capnp;

mod config;
mod error;
mod gossip;
mod member;
mod text;

pub use config::{read_change, read_stored, write_change, write_stored};
pub use error::{WireError, WireErrorKind};
pub use gossip::{decode_gossip, encode_gossip};
pub use member::{read_member, write_member};
