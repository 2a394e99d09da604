//! Tests of the request path over loopback: callers, entries and agents as in
//! the daemon, with small fakes of engines, plain services and the table.

mod admission;
mod cluster;
mod crashes;
mod fakes;
mod idempotency;
mod streams;
