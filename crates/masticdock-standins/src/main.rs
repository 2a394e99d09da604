//! Runs stand-ins and prints the address of each as one JSON line.

use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::thread;

use clap::{Parser, Subcommand};
use masticdock_standins::engine::EngineOptions;
use masticdock_standins::link::LinkOptions;
use masticdock_standins::{Running, engine, fleet, link, objects, origin, plain, table};
use serde_json::json;

#[derive(Debug, Parser)]
#[command(name = "masticdock-standins", version, about)]
struct Cli {
    /// Exits when standard input is closed.
    #[arg(long)]
    exit_with_stdin: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs a table service.
    Table {
        /// Address to bind.
        #[arg(long, default_value = "127.0.0.1:0")]
        addr: SocketAddr,
    },
    /// Runs an object store.
    Objects {
        /// Address to bind.
        #[arg(long, default_value = "127.0.0.1:0")]
        addr: SocketAddr,
    },
    /// Runs a weight origin.
    Origin {
        /// Address to bind.
        #[arg(long, default_value = "127.0.0.1:0")]
        addr: SocketAddr,
        /// Total rate of all reads; 0 means no limit.
        #[arg(long, default_value_t = 0)]
        rate_bytes_per_s: u64,
    },
    /// Runs a fleet view.
    Fleet {
        /// Address to bind.
        #[arg(long, default_value = "127.0.0.1:0")]
        addr: SocketAddr,
        /// Delay until a new list takes effect, in milliseconds.
        #[arg(long, default_value_t = 0)]
        lag_ms: u64,
    },
    /// Runs model engines.
    Engines {
        /// Address to bind; with port 0, each engine gets its own port.
        #[arg(long, default_value = "127.0.0.1:0")]
        addr: SocketAddr,
        /// Number of engines.
        #[arg(long, default_value_t = 1)]
        count: u32,
        #[command(flatten)]
        options: EngineOptions,
    },
    /// Runs a plain service.
    Plain {
        /// Address to bind.
        #[arg(long, default_value = "127.0.0.1:0")]
        addr: SocketAddr,
        /// Duration of a request, in milliseconds.
        #[arg(long, default_value_t = 0)]
        work_ms: u64,
    },
    /// Runs TCP relays that share one link.
    Link {
        /// Address to bind.
        #[arg(long, default_value = "127.0.0.1:0")]
        addr: SocketAddr,
        /// Address to relay to; can be repeated.
        #[arg(long = "target", required = true)]
        targets: Vec<SocketAddr>,
        /// Address of the control requests.
        #[arg(long, default_value = "127.0.0.1:0")]
        control: SocketAddr,
        /// Rate limit of each direction; 0 means no limit.
        #[arg(long, default_value_t = 0)]
        rate_bytes_per_s: u64,
        /// Delay of each read, in milliseconds.
        #[arg(long, default_value_t = 0)]
        latency_ms: u64,
    },
}

fn main() -> anyhow::Result<()> {
    env_logger::init();
    let cli = Cli::parse();
    start(cli.command)?;
    if cli.exit_with_stdin {
        io::copy(&mut io::stdin().lock().take(u64::MAX), &mut io::sink())?;
        return Ok(());
    }
    loop {
        thread::park();
    }
}

fn start(command: Command) -> io::Result<()> {
    match command {
        Command::Table { addr } => print(&table::spawn(addr)?, None),
        Command::Objects { addr } => print(&objects::spawn(addr)?, None),
        Command::Origin {
            addr,
            rate_bytes_per_s,
        } => print(&origin::spawn(addr, rate_bytes_per_s)?, None),
        Command::Fleet { addr, lag_ms } => print(&fleet::spawn(addr, lag_ms)?, None),
        Command::Plain { addr, work_ms } => print(&plain::spawn(addr, work_ms)?, None),
        Command::Engines {
            addr,
            count,
            options,
        } => {
            for _ in 0..count {
                print(&engine::spawn(addr, options.clone())?, None)?;
            }
            Ok(())
        }
        Command::Link {
            addr,
            targets,
            control,
            rate_bytes_per_s,
            latency_ms,
        } => {
            let (running, listens) = link::spawn(&LinkOptions {
                listen: addr,
                targets,
                control,
                rate_bytes_per_s,
                latency_ms,
            })?;
            for listen in listens {
                print(&running, Some(listen))?;
            }
            Ok(())
        }
    }
}

/// Prints the address of the service and that of its control requests.
fn print(running: &Running, listen: Option<SocketAddr>) -> io::Result<()> {
    let line = json!({
        "addr": listen.unwrap_or(running.addr),
        "control": running.addr,
    });
    let mut stdout = io::stdout().lock();
    writeln!(stdout, "{line}")?;
    stdout.flush()
}
