//! Decision code of masticdock.
//!
//! Nothing in this crate performs I/O, reads a clock or draws random numbers by
//! itself: callers pass the time and a seeded generator. That makes each module
//! testable against a naive version and embeddable elsewhere.

pub mod config_log;
pub mod event;
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
