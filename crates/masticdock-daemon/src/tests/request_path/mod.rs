//! Tests of the request path over loopback: real entries and agents with fakes of engines, plain
//! services and the table.

mod cluster;
mod crashes;
mod entry;
mod fakes;
mod keys;
mod streams;
