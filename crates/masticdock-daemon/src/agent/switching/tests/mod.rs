mod bad_input;
mod failures;
mod fakes;
mod leases;
mod rig;
mod share;
mod switches;
