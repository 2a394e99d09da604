//! Argument types.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;
use compact_str::CompactString;
use masticdock_core::ids::{RolloutId, VmId};
use masticdock_core::resource::ResourceKind;
use masticdock_core::units::ByteCount;

/// Says which model versions belong on which VMs.
#[derive(Debug, Parser)]
#[command(
    name = "masticdock",
    version,
    about,
    after_help = "Exit status: 0 done, 1 failed, 2 wrong usage, 3 conflict with another change, \
                  4 not found, 5 service unavailable or outcome unknown, 6 rollout halted."
)]
pub(crate) struct Cli {
    #[command(flatten)]
    pub(crate) access: Access,
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// How to reach an entry.
#[derive(Debug, Args)]
pub(crate) struct Access {
    /// Operators' address of an entry, for example `http://10.0.0.5:7402`
    #[arg(long, global = true, env = "MASTICDOCK_SERVER", value_name = "URL")]
    pub(crate) server: Option<String>,
    /// File that holds the operator's token
    #[arg(
        long,
        global = true,
        env = "MASTICDOCK_TOKEN_FILE",
        value_name = "FILE"
    )]
    pub(crate) token_file: Option<PathBuf>,
    /// Form of the output
    #[arg(short, long, global = true, value_enum, default_value_t)]
    pub(crate) output: OutputFormat,
}

/// Form of the output.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, ValueEnum)]
pub(crate) enum OutputFormat {
    /// Aligned columns for people
    #[default]
    Table,
    /// JSON
    Json,
    /// YAML
    Yaml,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Creates or replaces the resources in a YAML file
    Apply(ApplyArgs),
    /// Lists resources of a kind
    Get(ResourceArgs),
    /// Shows one resource in full
    Describe(ResourceArgs),
    /// Deletes a resource
    Delete {
        #[command(flatten)]
        resource: ResourceArgs,
        /// Check the change without making it
        #[arg(long)]
        dry_run: bool,
    },
    /// Watches and steers rollouts
    #[command(subcommand)]
    Rollout(RolloutCommand),
    /// Prints the way of one request from the logs of entries
    Trace(TraceArgs),
    /// Lists, labels and drains VMs
    #[command(subcommand)]
    Vm(VmCommand),
    /// Lists accepted changes: who, when, what
    Audit(AuditArgs),
    /// Explains a numbered log event
    Explain {
        /// Number as in `[E4000]`
        number: u16,
    },
    /// Writes the manifest of a file of weights and prints its digest
    Manifest(ManifestArgs),
    /// Prints a completion script
    Completions {
        /// Shell to complete for
        shell: Shell,
    },
}

#[derive(Debug, Args)]
pub(crate) struct ApplyArgs {
    /// YAML file with one or more documents; `-` reads standard input
    #[arg(short, long, value_name = "FILE")]
    pub(crate) file: PathBuf,
    /// Check the change and show which VMs its selectors match, without making it
    #[arg(long)]
    pub(crate) dry_run: bool,
    /// Refuse the change unless the configuration is at this revision
    #[arg(long, value_name = "REVISION")]
    pub(crate) expected_revision: Option<u64>,
}

#[derive(Debug, Args)]
pub(crate) struct ResourceArgs {
    /// model, version, adapter, rollout, service, workspace, vm-labels or vm-mark
    #[arg(value_parser = clap::value_parser!(ResourceKind))]
    pub(crate) kind: ResourceKind,
    /// Name of the resource
    pub(crate) name: Option<CompactString>,
}

#[derive(Debug, Subcommand)]
pub(crate) enum RolloutCommand {
    /// Shows the progress of a rollout
    Status(StatusArgs),
    /// Lets no further VM switch
    Pause {
        /// Name of the rollout
        name: RolloutId,
    },
    /// Lets VMs switch again
    Resume {
        /// Name of the rollout
        name: RolloutId,
    },
    /// Returns to the previous version, as a new revision
    Undo {
        /// Name of the rollout
        name: RolloutId,
    },
}

#[derive(Debug, Args)]
pub(crate) struct StatusArgs {
    /// Name of the rollout
    pub(crate) name: RolloutId,
    /// Follow the rollout until it is complete or halted
    #[arg(long)]
    pub(crate) watch: bool,
    /// Time between two looks, in milliseconds
    #[arg(long, default_value_t = 500, value_parser = clap::value_parser!(u64).range(50..=60_000))]
    pub(crate) interval_ms: u64,
}

#[derive(Debug, Subcommand)]
pub(crate) enum VmCommand {
    /// Lists VMs
    List {
        /// Label selector
        #[arg(short = 'l', long)]
        selector: Option<String>,
    },
    /// Sets labels (`key=value`) or removes those set before (`key-`)
    Label {
        /// The VM
        vm: VmId,
        /// Labels
        #[arg(required = true, value_name = "LABEL")]
        labels: Vec<CompactString>,
    },
    /// Marks a VM as leaving: no new work, no weights
    Drain {
        /// The VM
        vm: VmId,
    },
    /// Takes back the mark of a VM
    Undrain {
        /// The VM
        vm: VmId,
    },
    /// Marks a VM as stopping: no new work, ends the work in progress
    Stop {
        /// The VM
        vm: VmId,
    },
}

#[derive(Debug, Args)]
pub(crate) struct AuditArgs {
    /// Show changes above this revision
    #[arg(long, default_value_t = 0, value_name = "REVISION")]
    pub(crate) after: u64,
    /// Show at most this many changes
    #[arg(long, default_value_t = 50, value_parser = clap::value_parser!(u32).range(1..=1000))]
    pub(crate) limit: u32,
}

#[derive(Debug, Args)]
pub(crate) struct ManifestArgs {
    /// File of weights
    pub(crate) weights: PathBuf,
    /// Path of the weights at the origin
    #[arg(long)]
    pub(crate) object: String,
    /// Size of a chunk, for example `4MiB`
    #[arg(long, default_value = "4MiB")]
    pub(crate) chunk_size: ByteCount,
    /// File to write; its name at the object store is `manifests/<digest>`
    #[arg(long, value_name = "FILE")]
    pub(crate) to: PathBuf,
}

#[derive(Debug, Args)]
pub(crate) struct TraceArgs {
    /// Id of the request, as in its `X-Request-Id`
    pub(crate) request_id: CompactString,
    /// Log files; standard input when there are none
    pub(crate) files: Vec<PathBuf>,
}
