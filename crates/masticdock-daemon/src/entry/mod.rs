//! The entry: takes requests from callers and changes from operators.

pub(crate) mod callers;
pub(crate) mod operators;
mod run;

pub(crate) use run::run;
