//! Versioned configuration, kept as a totally ordered log of accepted changes.
//!
//! Every accepted change increments the revision by one. The table service holds
//! the log and is the only place where changes are accepted; processes apply the
//! log rows in order, so any two processes at the same revision hold the same
//! configuration.

mod adoption;
mod apply;
mod change;
mod proposal;
mod rows;
mod state;
mod window;

pub use adoption::{AdoptionError, PeerRevision, TableAdoption, choose_peer, missing_revision};
pub use apply::ApplyOutcome;
pub use change::AcceptedChange;
pub use proposal::{
    Accepted, Proposal, ProposalError, ProposalPorts, TableUnavailableError, WriteOutcome, propose,
};
pub use rows::{
    ATTR_BODY, ATTR_REVISION, CHANGE_ID_WRITE_INDEX, HEAD_WRITE_INDEX, PK_AUDIT, PK_CHANGE,
    PK_CONFIG, PK_LOG, PK_RESOURCE, SK_HEAD, change_from_row, resource_from_row, revision_sort_key,
    transaction,
};
pub use state::{ConfigState, StoredResource};
pub use window::ChangeWindow;
