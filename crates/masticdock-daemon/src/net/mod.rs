//! Messages to other masticdock processes.

pub(crate) mod gossip;
pub(crate) mod rpc;
