mod bad_input;
mod failures;
mod leases;
mod rig;
mod share;
mod switches;
