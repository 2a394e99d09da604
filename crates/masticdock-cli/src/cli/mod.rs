//! Command-line arguments.

mod args;

pub(crate) use args::{
    Access, ApplyArgs, AuditArgs, Cli, Command, ManifestArgs, OutputFormat, ResourceArgs,
    RolloutCommand, StatusArgs, TraceArgs, VmCommand,
};

use clap::Parser;

/// Parses the arguments; prints help or a usage error and exits where that applies.
pub(crate) fn parse() -> Cli {
    Cli::parse()
}
