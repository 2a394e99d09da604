//! Figures of the processes.

use std::fs;

use anyhow::{Context, bail};

use super::{Fleet, get_text};

/// Clock ticks per second in `/proc`, fixed by the kernel's interface.
const TICKS_PER_S: u64 = 100;
/// Fields of `/proc/<pid>/stat` from the state on, at which user time stands.
const USER_TIME_FIELD: usize = 11;

impl Fleet {
    /// Returns the metrics of an entry or agent in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails when the process does not answer.
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
    /// Fails when the process does not answer.
    pub fn metric(&mut self, name: &str, series: &str) -> anyhow::Result<f64> {
        let mut sum = 0.0;
        for line in self.metrics(name)?.lines() {
            let Some(rest) = line.strip_prefix(series) else {
                continue;
            };
            // A longer metric name that begins alike is another metric.
            if rest.starts_with(|c: char| c.is_ascii_alphanumeric() || c == '_') {
                continue;
            }
            let value = line.rsplit(' ').next().unwrap_or_default();
            sum += value.parse::<f64>()?;
        }
        Ok(sum)
    }

    /// Returns the last lines of the log of a process, empty when there is none.
    #[must_use]
    pub fn log_tail(&self, name: &str) -> String {
        let process = self.processes.get(name);
        process.map_or_else(String::new, super::process::Process::log_tail)
    }

    /// Returns the process id of a running process.
    ///
    /// # Errors
    ///
    /// Fails when the process does not run.
    pub fn pid(&mut self, name: &str) -> anyhow::Result<u32> {
        let pid = self.process(name)?.pid();
        pid.with_context(|| format!("{name} does not run"))
    }

    /// Returns the resident memory of a process.
    ///
    /// # Errors
    ///
    /// Fails when the process does not run.
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

    /// Returns the processor time that a process has used, in milliseconds.
    ///
    /// # Errors
    ///
    /// Fails when the process does not run.
    pub fn cpu_ms(&mut self, name: &str) -> anyhow::Result<u64> {
        let pid = self.pid(name)?;
        let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
        // The command may hold spaces, so fields are counted after its closing parenthesis.
        let (_, fields) = stat.rsplit_once(") ").context("/proc/stat is malformed")?;
        let mut times = fields.split(' ').skip(USER_TIME_FIELD);
        let mut next =
            || -> anyhow::Result<u64> { Ok(times.next().context("/proc/stat is short")?.parse()?) };
        Ok((next()? + next()?) * 1_000 / TICKS_PER_S)
    }
}
