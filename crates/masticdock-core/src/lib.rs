//! Decision logic of masticdock, without I/O.
//!
//! Nothing in this crate performs I/O, reads a clock or seeds a random number
//! generator: callers pass the time and a seeded generator. So each module can
//! be tested deterministically against a simple reference implementation and
//! can be embedded in other programs.

pub mod config_log;
pub mod event;
mod field_hash;
pub mod ids;
pub mod lease;
pub mod ledger;
pub mod limiter;
pub mod manifest;
pub mod membership;
pub mod operator_api;
pub mod poison;
pub mod problem;
pub mod rendezvous;
pub mod resource;
pub mod retry;
pub mod rollout;
pub mod router;
pub mod selector;
pub mod serving;
pub mod suggest;
pub mod switch;
pub mod table_row;
pub mod transfer;
pub mod units;
