//! Small stand-ins of the platform, the engines and a plain service, for tests
//! and measurements.
//!
//! Each stand-in answers `POST /faults` with a [`Faults`] body, which replaces
//! the faults in force, and `GET /faults`. The other control calls are
//! described with each module.

pub mod engine;
mod faults;
pub mod fleet;
mod http;
mod ledger;
pub mod link;
pub mod objects;
pub mod origin;
mod pacer;
pub mod plain;
pub mod table;

use std::net::SocketAddr;
use std::sync::Arc;

pub use faults::{FaultControl, Faults};
pub use ledger::{LedgerEntry, LedgerPage, Outcome};

/// A stand-in that runs on threads of this process until the process ends.
#[derive(Debug, Clone)]
pub struct Running {
    /// Bound address.
    pub addr: SocketAddr,
    /// Faults in force.
    pub faults: Arc<FaultControl>,
}

impl Running {
    /// Returns the base URL.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.addr)
    }
}
