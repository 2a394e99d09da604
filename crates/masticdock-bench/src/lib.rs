//! Process launcher for the demo, the measurements and process tests.

pub mod fleet;
pub mod spread;
pub mod traffic;
