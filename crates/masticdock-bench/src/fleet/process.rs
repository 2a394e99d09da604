//! Starts, signals and ends one child process.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use anyhow::{Context, bail, ensure};
use serde::Deserialize;

use super::addresses;

/// Number of log lines included in error messages.
const LOG_TAIL_LINES: usize = 15;
/// Interval between two checks whether a process has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Addresses of a stand-in's service, printed as one JSON line on standard output.
#[derive(Debug, Clone, Copy, Deserialize)]
pub(super) struct Announcement {
    pub(super) addr: SocketAddr,
    pub(super) control: SocketAddr,
}

/// Command line and log of a child process.
#[derive(Debug, Clone)]
pub(super) struct ProcessPlan {
    pub(super) name: String,
    pub(super) binary: PathBuf,
    pub(super) args: Vec<String>,
    /// Number of announcements to read from standard output; 0 for daemons.
    pub(super) announced: usize,
    pub(super) log_level: String,
    pub(super) log: PathBuf,
    /// Address that serves `/readyz` and `/metrics`; `None` for stand-ins.
    pub(super) status_addr: Option<SocketAddr>,
}

/// A child process that is killed when dropped.
#[derive(Debug)]
pub(super) struct Process {
    pub(super) plan: ProcessPlan,
    child: Option<Child>,
}

impl Process {
    /// Starts the process; stand-ins have bound their addresses when this returns.
    pub(super) fn start(plan: ProcessPlan) -> anyhow::Result<(Self, Vec<Announcement>)> {
        let mut process = Self { plan, child: None };
        let announced = process.spawn()?;
        Ok((process, announced))
    }

    fn spawn(&mut self) -> anyhow::Result<Vec<Announcement>> {
        let plan = &self.plan;
        let log = File::options()
            .append(true)
            .create(true)
            .open(&plan.log)
            .with_context(|| format!("cannot open {}", plan.log.display()))?;
        let stand_in = plan.announced > 0;
        let (stdin, stdout) = if stand_in {
            (Stdio::piped(), Stdio::piped())
        } else {
            (Stdio::null(), Stdio::from(log.try_clone()?))
        };
        let mut command = Command::new(&plan.binary);
        command
            .args(&plan.args)
            .env("RUST_LOG", &plan.log_level)
            .stdin(stdin)
            .stdout(stdout)
            .stderr(log);
        let child = addresses::spawn(&mut command)
            .with_context(|| format!("cannot start {}", plan.binary.display()))?;
        let child = self.child.insert(child);
        let mut announced = Vec::with_capacity(self.plan.announced);
        let Some(stdout) = child.stdout.take() else {
            return Ok(announced);
        };
        let mut lines = BufReader::new(stdout).lines();
        for _ in 0..self.plan.announced {
            let line = lines.next().transpose()?;
            let Some(line) = line else {
                bail!(
                    "{} exited during start-up\n{}",
                    self.plan.name,
                    self.log_tail()
                );
            };
            announced.push(serde_json::from_str(&line)?);
        }
        Ok(announced)
    }

    /// Kills the process if it runs and starts it with the same arguments.
    pub(super) fn restart(&mut self) -> anyhow::Result<Vec<Announcement>> {
        self.kill();
        self.spawn()
    }

    /// Returns the process id, or `None` if the process is not running.
    pub(super) fn pid(&mut self) -> Option<u32> {
        let child = self.child.as_mut()?;
        match child.try_wait() {
            Ok(None) => Some(child.id()),
            _ => None,
        }
    }

    /// Kills the process with SIGKILL and reaps it.
    pub(super) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Both calls fail only if the process has already exited.
            let _unused = child.kill();
            let _unused = child.wait();
        }
    }

    /// Sends a signal by its name, for example `STOP`.
    pub(super) fn signal(&mut self, signal: &str) -> anyhow::Result<()> {
        let Some(pid) = self.pid() else {
            bail!("{} is not running", self.plan.name);
        };
        let mut command = Command::new("kill");
        command.args([format!("-{signal}"), pid.to_string()]);
        let mut kill = addresses::spawn(&mut command).context("cannot run kill")?;
        let status = kill.wait()?;
        ensure!(
            status.success(),
            "cannot send {signal} to {}",
            self.plan.name
        );
        Ok(())
    }

    /// Waits for the process to exit; returns whether its exit status is 0.
    pub(super) fn wait_ended(&mut self, timeout: Duration) -> anyhow::Result<bool> {
        let started_at = Instant::now();
        let Some(child) = self.child.as_mut() else {
            bail!("{} is not running", self.plan.name);
        };
        loop {
            if let Some(status) = child.try_wait()? {
                return Ok(status.success());
            }
            if started_at.elapsed() > timeout {
                bail!("{} did not exit within {timeout:?}", self.plan.name);
            }
            std::thread::sleep(EXIT_POLL_INTERVAL);
        }
    }

    /// Returns the last lines of the log.
    pub(super) fn log_tail(&self) -> String {
        let text = std::fs::read_to_string(&self.plan.log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        let start = lines.len().saturating_sub(LOG_TAIL_LINES);
        lines[start..].join("\n")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
