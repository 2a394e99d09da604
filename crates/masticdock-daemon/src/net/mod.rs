//! Communication with other masticdock processes: gossip over UDP and RPC over TCP.

pub(crate) mod gossip;
pub(crate) mod rpc;
