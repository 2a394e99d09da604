//! Tests that use private items of the daemon.

mod gate;
mod request_path;
