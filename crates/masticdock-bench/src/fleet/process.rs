//! One child process.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use anyhow::{Context, bail, ensure};
use serde::Deserialize;

use super::addresses;

/// Lines of the log that an error shows.
const LOG_TAIL_LINES: usize = 15;
/// Time between two looks at whether a process has ended.
const END_POLL: Duration = Duration::from_millis(10);

/// Line that a stand-in prints for each service.
#[derive(Debug, Clone, Copy, Deserialize)]
pub(super) struct Announced {
    pub(super) addr: SocketAddr,
    pub(super) control: SocketAddr,
}

/// What to start.
#[derive(Debug, Clone)]
pub(super) struct ProcessPlan {
    pub(super) name: String,
    pub(super) binary: PathBuf,
    pub(super) args: Vec<String>,
    /// Lines to read from standard output, of stand-ins only.
    pub(super) announced: usize,
    pub(super) log_level: String,
    pub(super) log: PathBuf,
    /// Address of `/readyz`, of daemons only.
    pub(super) status_addr: Option<SocketAddr>,
}

/// A child process, ended when dropped.
#[derive(Debug)]
pub(super) struct Process {
    pub(super) plan: ProcessPlan,
    child: Option<Child>,
}

impl Process {
    /// Starts the process; stand-ins have bound their addresses on return.
    pub(super) fn start(plan: ProcessPlan) -> anyhow::Result<(Self, Vec<Announced>)> {
        let mut process = Self { plan, child: None };
        let announced = process.spawn()?;
        Ok((process, announced))
    }

    fn spawn(&mut self) -> anyhow::Result<Vec<Announced>> {
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
                bail!("{} ended at its start\n{}", self.plan.name, self.log_tail());
            };
            announced.push(serde_json::from_str(&line)?);
        }
        Ok(announced)
    }

    /// Starts the process again with the same arguments.
    pub(super) fn restart(&mut self) -> anyhow::Result<Vec<Announced>> {
        self.kill();
        self.spawn()
    }

    /// Returns the process id while the process runs.
    pub(super) fn pid(&mut self) -> Option<u32> {
        let child = self.child.as_mut()?;
        match child.try_wait() {
            Ok(None) => Some(child.id()),
            _ => None,
        }
    }

    /// Ends the process with SIGKILL and reaps it.
    pub(super) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Both fail only when the process has ended already.
            let _unused = child.kill();
            let _unused = child.wait();
        }
    }

    /// Sends a signal by its name, for example `STOP`.
    pub(super) fn signal(&mut self, signal: &str) -> anyhow::Result<()> {
        let Some(pid) = self.pid() else {
            bail!("{} does not run", self.plan.name);
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

    /// Waits until the process ended by itself; returns whether it ended well.
    pub(super) fn wait_ended(&mut self, timeout: Duration) -> anyhow::Result<bool> {
        let begin = Instant::now();
        let Some(child) = self.child.as_mut() else {
            bail!("{} does not run", self.plan.name);
        };
        loop {
            if let Some(status) = child.try_wait()? {
                return Ok(status.success());
            }
            if begin.elapsed() > timeout {
                bail!("{} did not end in {timeout:?}", self.plan.name);
            }
            std::thread::sleep(END_POLL);
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
