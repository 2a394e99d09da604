//! What an operator types and sees.

use std::fs;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{self, RecvTimeoutError};
use std::time::{Duration, Instant};

use anyhow::{Context, bail, ensure};
use masticdock_bench::fleet::{self, Fleet};
use masticdock_core::operator_api::RolloutStatus;

/// Attempts to apply a file while the entries still adopt a configuration.
const APPLY_ATTEMPTS: u32 = 5;
/// Time between two attempts.
const APPLY_INTERVAL: Duration = Duration::from_millis(500);
/// Exit status of `masticdock` when the service is unavailable.
const EXIT_UNAVAILABLE: i32 = 5;
/// Exit status of `masticdock` when a resource does not exist.
const EXIT_NOT_FOUND: i32 = 4;
/// Attempts to read the status of a rollout that was just accepted.
const STATUS_ATTEMPTS: u32 = 50;
/// Time between two attempts to read the status.
const STATUS_INTERVAL: Duration = Duration::from_millis(100);
/// Log lines shown of each process when the verdict does not hold.
const LOG_LINES: usize = 25;

/// Runs `masticdock` against the first entry and prints what it prints.
pub(super) struct Operator {
    binary: PathBuf,
    folder: PathBuf,
    server: String,
    begin: Instant,
}

impl Operator {
    pub(super) fn new(fleet: &Fleet, begin: Instant) -> anyhow::Result<Self> {
        let folder = fleet.folder().to_owned();
        let authorization = Fleet::operator_authorization();
        let token = authorization.trim_start_matches("Bearer ");
        fs::write(folder.join("demo.token"), token)?;
        let entry = fleet.entries().first().context("there is no entry")?;
        Ok(Self {
            binary: fleet::binary_path("masticdock")?,
            folder,
            server: format!("http://{}", entry.operators),
            begin,
        })
    }

    /// Prints a line with the time since the start.
    pub(super) fn say(&self, text: &str) {
        println!("[{:6.2} s] {text}", self.begin.elapsed().as_secs_f64());
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

    /// Runs a command to its end; returns its exit status.
    fn run(&self, args: &[&str]) -> anyhow::Result<Option<i32>> {
        self.say(&format!("$ masticdock {}", args.join(" ")));
        let output = self.command(args).output()?;
        for text in [output.stdout, output.stderr] {
            for line in String::from_utf8_lossy(&text).lines() {
                self.say(&format!("  {line}"));
            }
        }
        Ok(output.status.code())
    }

    /// Runs a command that must succeed.
    pub(super) fn masticdock(&self, args: &[&str]) -> anyhow::Result<()> {
        let status = self.run(args)?;
        ensure!(status == Some(0), "masticdock ended with {status:?}");
        Ok(())
    }

    /// Writes a file and applies it.
    pub(super) fn apply(&self, name: &str, yaml: &str) -> anyhow::Result<()> {
        fs::write(self.folder.join(name), yaml)?;
        for _ in 0..APPLY_ATTEMPTS {
            match self.run(&["apply", "-f", name])? {
                Some(0) => return Ok(()),
                Some(EXIT_UNAVAILABLE) => std::thread::sleep(APPLY_INTERVAL),
                status => bail!("masticdock apply ended with {status:?}"),
            }
        }
        bail!("masticdock apply found no service that is available")
    }

    /// Follows the rollout to its end; returns the VMs on its version.
    pub(super) fn watch(&self, timeout: Duration) -> anyhow::Result<u32> {
        self.wait_known()?;
        let args = "rollout status assistant --watch --interval-ms 100";
        self.say(&format!("$ masticdock {args}"));
        let args: Vec<&str> = args.split(' ').collect();
        let mut child = self.command(&args).stdout(Stdio::piped()).spawn()?;
        let ended = self.print_lines(&mut child, timeout);
        // Both fail only when the process has ended already.
        let _unused = child.kill();
        let _unused = child.wait();
        ended?;
        let status = self.status()?;
        Ok(status.context("the rollout is unknown")?.serving)
    }

    /// Waits until the entry knows the rollout: it answers a change as accepted
    /// shortly before its own copy of the configuration has it.
    fn wait_known(&self) -> anyhow::Result<()> {
        for _ in 0..STATUS_ATTEMPTS {
            if self.status()?.is_some() {
                return Ok(());
            }
            std::thread::sleep(STATUS_INTERVAL);
        }
        bail!("the entry does not know the rollout that it accepted")
    }

    /// Returns the status of the rollout, or `None` when the entry does not know it.
    fn status(&self) -> anyhow::Result<Option<RolloutStatus>> {
        let output = self
            .command(&["rollout", "status", "assistant", "--output", "json"])
            .output()?;
        if output.status.code() == Some(EXIT_NOT_FOUND) {
            return Ok(None);
        }
        let status = serde_json::from_slice(&output.stdout)
            .context("masticdock rollout status printed no JSON")?;
        Ok(Some(status))
    }

    fn print_lines(&self, child: &mut Child, timeout: Duration) -> anyhow::Result<()> {
        let stdout = child.stdout.take().context("there is no output")?;
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
                Ok(line) => self.say(&format!("  {line}")),
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
                Err(RecvTimeoutError::Timeout) => {
                    self.say(&format!("the rollout did not end in {timeout:?}"));
                    return Ok(());
                }
            }
        }
    }

    /// Prints the ends of the logs of entries and agents.
    pub(super) fn print_logs(&self, fleet: &Fleet) {
        let agents = fleet.plan().agents.iter().map(|agent| agent.id.clone());
        let entries = (0..fleet.entries().len()).map(|index| format!("entry-{index}"));
        for name in entries.chain(agents) {
            let path = self.folder.join(format!("{name}.log"));
            let text = fs::read_to_string(path).unwrap_or_default();
            let lines: Vec<&str> = text.lines().collect();
            println!("--- end of the log of {name}");
            for line in &lines[lines.len().saturating_sub(LOG_LINES)..] {
                println!("{line}");
            }
        }
    }
}
