//! Reads metrics, logs and resource usage of the child processes.

use std::fs;

use anyhow::{Context, bail};

use super::{Fleet, get_text};

/// Clock ticks per second in `/proc`; a constant of the kernel's user-space interface.
const TICKS_PER_S: u64 = 100;
/// Index of the user time among the fields of `/proc/<pid>/stat`, counted from the state.
const USER_TIME_FIELD: usize = 11;

impl Fleet {
    /// Returns the metrics of an entry or agent in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not answer.
    pub fn metrics(&mut self, name: &str) -> anyhow::Result<String> {
        let status_addr = self.process(name)?.plan.status_addr;
        let addr = status_addr.with_context(|| format!("`{name}` has no metrics"))?;
        get_text(addr, "/metrics")
    }

    /// Returns the sum of the series whose line starts with `series`, for
    /// example `masticdock_requests_total{outcome="complete"`.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not answer.
    pub fn metric(&mut self, name: &str, series: &str) -> anyhow::Result<f64> {
        let mut sum = 0.0;
        for line in self.metrics(name)?.lines() {
            let Some(rest) = line.strip_prefix(series) else {
                continue;
            };
            // Skips other metrics whose longer name starts with `series`.
            if rest.starts_with(|c: char| c.is_ascii_alphanumeric() || c == '_') {
                continue;
            }
            let value = line.rsplit(' ').next().unwrap_or_default();
            sum += value.parse::<f64>()?;
        }
        Ok(sum)
    }

    /// Returns the last lines of a process's log, or an empty string if there is no such process.
    #[must_use]
    pub fn log_tail(&self, name: &str) -> String {
        let process = self.processes.get(name);
        process.map_or_else(String::new, super::process::Process::log_tail)
    }

    /// Returns the process id of a running process.
    ///
    /// # Errors
    ///
    /// Returns an error if the process is not running.
    pub fn pid(&mut self, name: &str) -> anyhow::Result<u32> {
        let pid = self.process(name)?.pid();
        pid.with_context(|| format!("{name} is not running"))
    }

    /// Returns the resident memory of a process, in bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the process is not running.
    pub fn resident_bytes(&mut self, name: &str) -> anyhow::Result<u64> {
        let pid = self.pid(name)?;
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        for line in status.lines() {
            let Some(rest) = line.strip_prefix("VmRSS:") else {
                continue;
            };
            let kib: u64 = rest.trim().trim_end_matches(" kB").parse()?;
            return Ok(kib * 1024);
        }
        bail!("/proc/{pid}/status has no VmRSS")
    }

    /// Returns the CPU time that a process has used in user and kernel mode, in milliseconds.
    ///
    /// # Errors
    ///
    /// Returns an error if the process is not running.
    pub fn cpu_ms(&mut self, name: &str) -> anyhow::Result<u64> {
        let pid = self.pid(name)?;
        let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
        // The command name may contain spaces, so fields are counted after its closing parenthesis.
        let (_, fields) = stat
            .rsplit_once(") ")
            .context("malformed /proc/<pid>/stat")?;
        let mut times = fields.split(' ').skip(USER_TIME_FIELD);
        let mut next_ticks = || -> anyhow::Result<u64> {
            Ok(times
                .next()
                .context("too few fields in /proc/<pid>/stat")?
                .parse()?)
        };
        Ok((next_ticks()? + next_ticks()?) * 1_000 / TICKS_PER_S)
    }
}
