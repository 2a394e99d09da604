//! Runs the operator's commands and prints their output.

use std::fs;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{self, RecvTimeoutError};
use std::time::{Duration, Instant};

use anyhow::{Context, bail, ensure};
use masticdock_bench::fleet::{self, Fleet};
use masticdock_core::operator_api::RolloutStatus;

/// Maximum number of attempts to apply a file while the entries still load a configuration.
const APPLY_ATTEMPTS: u32 = 5;
/// Interval between two attempts to apply a file.
const APPLY_INTERVAL: Duration = Duration::from_millis(500);
/// Exit status of `masticdock` if the service is unavailable.
const EXIT_UNAVAILABLE: i32 = 5;
/// Exit status of `masticdock` if a resource does not exist.
const EXIT_NOT_FOUND: i32 = 4;
/// Maximum number of attempts to read the status of a rollout that was just accepted.
const STATUS_ATTEMPTS: u32 = 50;
/// Interval between two attempts to read the status.
const STATUS_INTERVAL: Duration = Duration::from_millis(100);
/// Number of log lines printed per process if the verdict fails.
const LOG_TAIL_LINES: usize = 25;

/// Runs `masticdock` against the first entry and prints its output.
pub(super) struct Operator {
    binary: PathBuf,
    folder: PathBuf,
    server: String,
    started_at: Instant,
}

impl Operator {
    pub(super) fn new(fleet: &Fleet, started_at: Instant) -> anyhow::Result<Self> {
        let folder = fleet.folder().to_owned();
        let authorization = Fleet::operator_authorization();
        let token = authorization.trim_start_matches("Bearer ");
        fs::write(folder.join("demo.token"), token)?;
        let entry = fleet
            .entries()
            .first()
            .context("the fleet has no entries")?;
        Ok(Self {
            binary: fleet::binary_path("masticdock")?,
            folder,
            server: format!("http://{}", entry.operators),
            started_at,
        })
    }

    /// Prints a line, prefixed with the time since the start.
    pub(super) fn print_timed(&self, text: &str) {
        println!("[{:6.2} s] {text}", self.started_at.elapsed().as_secs_f64());
    }

    fn command(&self, args: &[&str]) -> Command {
        let mut command = Command::new(&self.binary);
        command
            .args(args)
            .env("MASTICDOCK_SERVER", &self.server)
            .env("MASTICDOCK_TOKEN_FILE", self.folder.join("demo.token"))
            .current_dir(&self.folder)
            .stdin(Stdio::null());
        command
    }

    /// Runs a command and prints its output; returns its exit status.
    fn run(&self, args: &[&str]) -> anyhow::Result<Option<i32>> {
        self.print_timed(&format!("$ masticdock {}", args.join(" ")));
        let output = self.command(args).output()?;
        for text in [output.stdout, output.stderr] {
            for line in String::from_utf8_lossy(&text).lines() {
                self.print_timed(&format!("  {line}"));
            }
        }
        Ok(output.status.code())
    }

    /// Runs a command; an exit status other than 0 is an error.
    pub(super) fn masticdock(&self, args: &[&str]) -> anyhow::Result<()> {
        let status = self.run(args)?;
        ensure!(status == Some(0), "masticdock exited with {status:?}");
        Ok(())
    }

    /// Writes a file and applies it, with retries while the service is unavailable.
    pub(super) fn apply(&self, name: &str, yaml: &str) -> anyhow::Result<()> {
        fs::write(self.folder.join(name), yaml)?;
        for _ in 0..APPLY_ATTEMPTS {
            match self.run(&["apply", "-f", name])? {
                Some(0) => return Ok(()),
                Some(EXIT_UNAVAILABLE) => std::thread::sleep(APPLY_INTERVAL),
                status => bail!("masticdock apply exited with {status:?}"),
            }
        }
        bail!("masticdock apply: service still unavailable after all retries")
    }

    /// Follows the rollout until it ends; returns the number of VMs that serve its version.
    pub(super) fn watch(&self, timeout: Duration) -> anyhow::Result<u32> {
        self.wait_until_known()?;
        let args = "rollout status assistant --watch --interval-ms 100";
        self.print_timed(&format!("$ masticdock {args}"));
        let args: Vec<&str> = args.split(' ').collect();
        let mut child = self.command(&args).stdout(Stdio::piped()).spawn()?;
        let ended = self.print_lines(&mut child, timeout);
        // Both calls fail only if the process has already exited.
        let _unused = child.kill();
        let _unused = child.wait();
        ended?;
        let status = self.status()?;
        Ok(status
            .context("the entry does not know the rollout")?
            .serving)
    }

    /// Waits until the entry knows the rollout.
    ///
    /// An entry confirms a change shortly before its own copy of the configuration
    /// contains it.
    fn wait_until_known(&self) -> anyhow::Result<()> {
        for _ in 0..STATUS_ATTEMPTS {
            if self.status()?.is_some() {
                return Ok(());
            }
            std::thread::sleep(STATUS_INTERVAL);
        }
        bail!("the entry accepted the rollout but does not list it")
    }

    /// Returns the status of the rollout, or `None` if the entry does not know it.
    fn status(&self) -> anyhow::Result<Option<RolloutStatus>> {
        let output = self
            .command(&["rollout", "status", "assistant", "--output", "json"])
            .output()?;
        if output.status.code() == Some(EXIT_NOT_FOUND) {
            return Ok(None);
        }
        let status = serde_json::from_slice(&output.stdout)
            .context("masticdock rollout status did not print valid JSON")?;
        Ok(Some(status))
    }

    /// Prints the output of a child process until it closes or the timeout passes.
    fn print_lines(&self, child: &mut Child, timeout: Duration) -> anyhow::Result<()> {
        let stdout = child
            .stdout
            .take()
            .context("standard output is not piped")?;
        let (sender, lines) = mpsc::channel();
        std::thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                if sender.send(line).is_err() {
                    return;
                }
            }
        });
        let end = Instant::now() + timeout;
        loop {
            let rest = end.saturating_duration_since(Instant::now());
            match lines.recv_timeout(rest) {
                Ok(line) => self.print_timed(&format!("  {line}")),
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
                Err(RecvTimeoutError::Timeout) => {
                    self.print_timed(&format!("the rollout did not finish within {timeout:?}"));
                    return Ok(());
                }
            }
        }
    }

    /// Prints the last log lines of all entries and agents.
    pub(super) fn print_logs(&self, fleet: &Fleet) {
        let agents = fleet.plan().agents.iter().map(|agent| agent.id.clone());
        let entries = (0..fleet.entries().len()).map(|index| format!("entry-{index}"));
        for name in entries.chain(agents) {
            let path = self.folder.join(format!("{name}.log"));
            let text = fs::read_to_string(path).unwrap_or_default();
            let lines: Vec<&str> = text.lines().collect();
            println!("--- end of the log of {name}");
            for line in &lines[lines.len().saturating_sub(LOG_TAIL_LINES)..] {
                println!("{line}");
            }
        }
    }
}
