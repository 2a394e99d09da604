//! Stand-ins for the platform services, the engines and a plain service, for tests
//! and measurements.
//!
//! Each stand-in has control requests for injected faults: `POST /faults` replaces the
//! active faults by those of a [`Faults`] body, and `GET /faults` returns them. Further
//! control requests are documented in each module.

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

/// A stand-in that runs on threads of this process until the process exits.
#[derive(Debug, Clone)]
pub struct Running {
    /// Address that the stand-in listens on.
    pub addr: SocketAddr,
    /// Active faults.
    pub faults: Arc<FaultControl>,
}

impl Running {
    /// Returns the base URL.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.addr)
    }
}
