//! The entry: takes requests from callers and changes from operators.

pub(crate) mod callers;
pub(crate) mod operators;
mod run;

use crate::settings::EntrySettings;

pub(crate) use run::run;
