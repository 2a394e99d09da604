mod bad_input;
mod failures;
mod fakes;
mod harness;
mod leases;
mod serving_share;
mod switches;
