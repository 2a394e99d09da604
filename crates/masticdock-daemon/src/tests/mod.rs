//! Tests that reach private items of the daemon.

mod request_path;
