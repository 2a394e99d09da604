//! Messages to other masticdock processes.
