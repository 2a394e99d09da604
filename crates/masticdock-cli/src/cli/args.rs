//! Argument types of the command line.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;
use compact_str::CompactString;
use masticdock_core::ids::{RolloutId, VmId};
use masticdock_core::resource::ResourceKind;
use masticdock_core::units::ByteCount;

/// Arguments of the operator command line.
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

/// Options for the connection to an entry and the output.
#[derive(Debug, Args)]
pub(crate) struct Access {
    /// URL of an entry's operator address, for example `http://10.0.0.5:7402`
    #[arg(long, global = true, env = "MASTICDOCK_SERVER", value_name = "URL")]
    pub(crate) server: Option<String>,
    /// File that contains the operator's token
    #[arg(
        long,
        global = true,
        env = "MASTICDOCK_TOKEN_FILE",
        value_name = "FILE"
    )]
    pub(crate) token_file: Option<PathBuf>,
    /// Output format
    #[arg(short, long, global = true, value_enum, default_value_t)]
    pub(crate) output: OutputFormat,
}

/// Output format.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, ValueEnum)]
pub(crate) enum OutputFormat {
    /// Aligned columns
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
        /// Validate the change without applying it
        #[arg(long)]
        dry_run: bool,
    },
    /// Shows and controls rollouts
    #[command(subcommand)]
    Rollout(RolloutCommand),
    /// Traces one request through the logs of entries
    Trace(TraceArgs),
    /// Lists, labels and drains VMs
    #[command(subcommand)]
    Vm(VmCommand),
    /// Lists accepted changes: who, when, what
    Audit(AuditArgs),
    /// Explains a numbered log event
    Explain {
        /// Event number, as in `[E4000]`
        number: u16,
    },
    /// Writes the manifest of a weights file and prints its digest
    Manifest(ManifestArgs),
    /// Prints a shell completion script
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
    /// Validate the change and show which VMs its selectors match, without applying it
    #[arg(long)]
    pub(crate) dry_run: bool,
    /// Reject the change unless the configuration is at this revision
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
    /// Pauses a rollout: no further VM switches
    Pause {
        /// Name of the rollout
        name: RolloutId,
    },
    /// Resumes a paused rollout
    Resume {
        /// Name of the rollout
        name: RolloutId,
    },
    /// Restores the previous version, as a new revision
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
    /// Polling interval, in milliseconds
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
        /// Id of the VM
        vm: VmId,
        /// Labels to set or remove
        #[arg(required = true, value_name = "LABEL")]
        labels: Vec<CompactString>,
    },
    /// Marks a VM as leaving: no new work, no weights
    Drain {
        /// Id of the VM
        vm: VmId,
    },
    /// Removes the leaving or stopping mark of a VM
    Undrain {
        /// Id of the VM
        vm: VmId,
    },
    /// Marks a VM as stopping: no new work, ends the work in progress
    Stop {
        /// Id of the VM
        vm: VmId,
    },
}

#[derive(Debug, Args)]
pub(crate) struct AuditArgs {
    /// Show changes after this revision
    #[arg(long, default_value_t = 0, value_name = "REVISION")]
    pub(crate) after: u64,
    /// Show at most this many changes
    #[arg(long, default_value_t = 50, value_parser = clap::value_parser!(u32).range(1..=1000))]
    pub(crate) limit: u32,
}

#[derive(Debug, Args)]
pub(crate) struct ManifestArgs {
    /// Weights file
    pub(crate) weights: PathBuf,
    /// Path of the weights at the origin
    #[arg(long)]
    pub(crate) object: String,
    /// Size of a chunk, for example `4MiB`
    #[arg(long, default_value = "4MiB")]
    pub(crate) chunk_size: ByteCount,
    /// Manifest file to write; its name in the object store is `manifests/<digest>`
    #[arg(long, value_name = "FILE")]
    pub(crate) to: PathBuf,
}

#[derive(Debug, Args)]
pub(crate) struct TraceArgs {
    /// Request id, as in the `X-Request-Id` header
    pub(crate) request_id: CompactString,
    /// Log files; defaults to standard input
    pub(crate) files: Vec<PathBuf>,
}
