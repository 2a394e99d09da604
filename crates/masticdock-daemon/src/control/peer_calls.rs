//! Answers to calls of other processes about configuration and members.

use masticdock_core::config_log::StoredResource;

use super::Snapshot;
use crate::net::rpc::{PeerReply, PeerRequest};

/// Maximum number of members in one page; keeps an answer near 64 KiB.
const MEMBERS_PAGE_LEN: usize = 256;

/// Answers calls about configuration and members; returns `None` for all other calls.
pub(crate) fn answer_peer(snapshot: &Snapshot, request: &PeerRequest) -> Option<PeerReply> {
    let config = &snapshot.config;
    match request {
        PeerRequest::ChangesSince(revision) => {
            let changes = snapshot.recent.since(*revision);
            Some(PeerReply::Changes {
                head: config.revision(),
                complete: changes.is_some(),
                changes: changes.unwrap_or_default(),
            })
        }
        PeerRequest::Configuration => {
            let resources: Vec<StoredResource> =
                config.iter().map(|(_, stored)| stored.clone()).collect();
            Some(PeerReply::Configuration {
                head: config.revision(),
                resources,
            })
        }
        PeerRequest::Members { offset } => {
            let start = usize::try_from(*offset).unwrap_or(usize::MAX);
            let page = snapshot.members.iter().skip(start).take(MEMBERS_PAGE_LEN);
            Some(PeerReply::Members {
                members: page.cloned().collect(),
                total: u32::try_from(snapshot.members.len()).unwrap_or(u32::MAX),
            })
        }
        PeerRequest::Chunk { .. } | PeerRequest::Announce { .. } => None,
    }
}
