//! Configuration as one totally ordered log of accepted changes.

mod adoption;
mod apply;
mod change;
mod proposal;
mod rows;
mod state;
mod window;

pub use adoption::{AdoptionError, PeerRevision, TableAdoption, choose_peer};
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
