//! Messages to other masticdock processes.

pub(crate) mod rpc;
