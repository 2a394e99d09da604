//! The entry: takes requests from callers and changes from operators.

pub(crate) mod operators;
mod run;
pub(crate) mod callers;

use crate::settings::EntrySettings;

pub(crate) use run::run;
