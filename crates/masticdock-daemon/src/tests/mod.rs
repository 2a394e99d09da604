//! Tests that reach private items of the daemon.

mod gate;
mod request_path;
