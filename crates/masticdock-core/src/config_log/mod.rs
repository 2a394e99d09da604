//! Configuration as one totally ordered log of accepted changes.

mod adoption;
mod apply;
mod change;
mod proposal;
mod rows;
mod state;
mod window;

pub use adoption::{AdoptionError, PeerOffer, TableAdoption, choose_offer};
pub use apply::Applied;
pub use change::AcceptedChange;
pub use proposal::{
    Accepted, Proposal, ProposalError, ProposalPorts, TableDown, WriteOutcome, propose,
};
pub use rows::{
    BODY, PK_AUDIT, PK_CHANGE, PK_CONFIG, PK_LOG, PK_RESOURCE, REVISION, SK_HEAD, WRITE_CHANGE_ID,
    WRITE_HEAD, change_from_row, revision_sk, stored_from_row, transaction,
};
pub use state::{ConfigState, Stored};
pub use window::ChangeWindow;
