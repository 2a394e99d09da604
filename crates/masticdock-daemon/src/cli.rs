//! Command line of the daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use masticdock_core::event;

use crate::event_log::log_event;
use crate::settings::{self, Settings};

/// Distributes weights to VMs and routes requests to them.
#[derive(Debug, Parser)]
#[command(name = "masticdockd", version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs an entry: takes requests from callers and operators.
    Entry {
        /// Settings file in YAML.
        settings: PathBuf,
    },
    /// Runs an agent beside one upstream.
    Agent {
        /// Settings file in YAML.
        settings: PathBuf,
    },
    /// Runs an entry or an agent on the users' platform, which writes its settings.
    Node {
        /// Role of the process.
        #[arg(value_enum)]
        role: NodeRole,
    },
    /// Checks a configuration before it is sent on the users' platform.
    CheckConfiguration {
        /// File with the value of the configuration row, in JSON.
        file: PathBuf,
        /// File with the configuration in force; prints what differs.
        #[arg(long, value_name = "FILE")]
        in_force: Option<PathBuf>,
    },
    /// Checks a settings file and prints the first error with its line.
    Check {
        /// Settings file in YAML.
        settings: PathBuf,
    },
}

#[derive(Debug, Clone, Copy, clap::ValueEnum)]
enum NodeRole {
    /// Takes requests of callers.
    Entry,
    /// Keeps the weights of the upstream on its VM.
    Agent,
}

impl From<NodeRole> for masticdock_node::Role {
    fn from(role: NodeRole) -> Self {
        match role {
            NodeRole::Entry => Self::Entry,
            NodeRole::Agent => Self::Agent,
        }
    }
}

/// Exit status when the settings are invalid.
const EXIT_INVALID_SETTINGS: u8 = 2;

pub(crate) fn run() -> ExitCode {
    let cli = Cli::parse();
    if let Command::Node { role } = cli.command {
        return run_node(role.into());
    }
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
        .format_timestamp_millis()
        .init();
    match cli.command {
        Command::Entry { settings } => start(&settings, "entry"),
        Command::Agent { settings } => start(&settings, "agent"),
        Command::Check { settings } => check(&settings),
        Command::CheckConfiguration { file, in_force } => {
            check_configuration(&file, in_force.as_deref())
        }
        Command::Node { role } => run_node(role.into()),
    }
}

fn run_node(role: masticdock_node::Role) -> ExitCode {
    match masticdock_node::run(role) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error @ masticdock_node::StartError::Settings(_)) => {
            eprintln!("error: {error}");
            ExitCode::from(EXIT_INVALID_SETTINGS)
        }
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

fn check(path: &std::path::Path) -> ExitCode {
    match settings::load(path) {
        Ok(settings) => {
            println!(
                "{}: valid settings of role {}",
                path.display(),
                settings.role()
            );
            ExitCode::SUCCESS
        }
        Err(error) => {
            log::debug!("settings error kind: {:?}", error.kind);
            eprintln!("error: {error}");
            ExitCode::from(EXIT_INVALID_SETTINGS)
        }
    }
}

/// Prints findings and differences; fails if a finding is an error.
fn check_configuration(path: &std::path::Path, in_force: Option<&std::path::Path>) -> ExitCode {
    let report = match masticdock_node::check_configuration_file(path, in_force) {
        Ok(report) => report,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    for finding in &report.findings {
        println!("{finding}");
    }
    for difference in &report.differences {
        println!("change: {difference}");
    }
    if report.has_errors() {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    }
}

fn start(path: &std::path::Path, role: &str) -> ExitCode {
    let settings = match settings::load(path) {
        Ok(settings) => settings,
        Err(error) => {
            log_event!(event::SETTINGS_INVALID, "{error}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    let result = match (settings, role) {
        (Settings::Entry(entry), "entry") => crate::entry::run(&entry),
        (Settings::Agent(agent), "agent") => crate::agent::run(&agent),
        (other, _) => {
            log_event!(
                event::SETTINGS_INVALID,
                "{}: the file is for role {}, but the command is `{role}`; tip: run `masticdockd {} {}`",
                path.display(),
                other.role(),
                other.role(),
                path.display()
            );
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error:#}");
            ExitCode::FAILURE
        }
    }
}
