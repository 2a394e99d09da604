//! Process launcher and measurements, shared by the demo and the tests with real processes.

pub mod fleet;
pub mod spread;
pub mod traffic;
