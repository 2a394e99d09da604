//! The entry process: serves requests of callers and configuration changes of operators.

pub(crate) mod callers;
pub(crate) mod operators;
mod run;

pub(crate) use run::run;
