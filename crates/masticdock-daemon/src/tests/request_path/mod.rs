//! Tests of the request path over loopback: callers, entries and agents as in
//! the daemon, with small fakes of engines, plain services and the table.

mod cluster;
mod crashes;
mod entry;
mod fakes;
mod keys;
mod streams;
