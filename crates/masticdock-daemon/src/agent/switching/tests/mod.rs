mod engine_failures;
mod fakes;
mod harness;
mod leases;
mod serving_share;
mod switches;
mod unusable_versions;
