//! Configuration as one totally ordered log of accepted changes.

mod change;
mod state;

pub use change::AcceptedChange;
pub use state::{ConfigState, Stored};
