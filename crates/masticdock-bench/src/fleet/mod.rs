//! Runs a fleet of real processes: stand-ins for the platform, entries and agents.
//!
//! ```no_run
//! use masticdock_bench::fleet::{Fleet, FleetPlan, Place};
//!
//! let places = [Place::new("r1", "a"), Place::new("r2", "a")];
//! let mut fleet = Fleet::start(FleetPlan::spread(&places, 2, 4))?;
//! fleet.wait_all_ready()?;
//! let version = fleet.publish_generated("assistant", "v1", 8 << 20, 1 << 20)?;
//! fleet.put(vec![version])?;
//! fleet.kill("vm-0")?;
//! fleet.restart("vm-0")?;
//! # anyhow::Ok(())
//! ```
//!
//! Processes are named `table`, `objects`, `origin`, `fleet`, `engines`,
//! `plain-<vm>`, `link-<region>`, `entry-<n>`, and agents after the id of their
//! VM. Dropping the [`Fleet`] ends all of them and removes the folder with their
//! settings and logs; during a panic the folder is kept and its path printed.

mod addresses;
mod binaries;
mod launch;
mod measure;
pub mod operators;
mod plan;
mod process;
mod settings;
mod weights;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use masticdock_standins::engine::EngineOptions;
use masticdock_standins::{Faults, LedgerPage};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value as Json;

pub use binaries::path_of as binary_path;
pub use plan::{AgentPlan, FleetPlan, Place, RegionLink, Upstream};

use process::Process;

/// Timeout for a process to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of HTTP calls to stand-ins, entries and agents.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Addresses of an entry.
#[derive(Debug, Clone, Copy)]
pub struct EntryAddrs {
    /// Address that serves callers' requests.
    pub callers: SocketAddr,
    /// Address of the operators' interface.
    pub operators: SocketAddr,
}

/// The running processes of one fleet.
#[derive(Debug)]
pub struct Fleet {
    plan: FleetPlan,
    folder: PathBuf,
    processes: BTreeMap<String, Process>,
    /// Control addresses of stand-ins by process name; engines are listed as `engine-<vm>`.
    controls: BTreeMap<String, SocketAddr>,
    entries: Vec<EntryAddrs>,
    /// List of VMs as last uploaded to the fleet view.
    fleet_list: Vec<Json>,
    /// Number of changes made so far; makes their ids unique.
    changes: u64,
}

impl Fleet {
    /// Returns the plan that the fleet was started from.
    #[must_use]
    pub const fn plan(&self) -> &FleetPlan {
        &self.plan
    }

    /// Returns the folder that holds the settings and logs of all processes.
    #[must_use]
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Returns the addresses of the entries in the order of the plan.
    #[must_use]
    pub fn entries(&self) -> &[EntryAddrs] {
        &self.entries
    }

    fn process(&mut self, name: &str) -> anyhow::Result<&mut Process> {
        let found = self.processes.get_mut(name);
        found.with_context(|| format!("unknown process `{name}`"))
    }

    /// Kills a process with SIGKILL.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such process.
    pub fn kill(&mut self, name: &str) -> anyhow::Result<()> {
        self.process(name)?.kill();
        Ok(())
    }

    /// Suspends a process with SIGSTOP.
    ///
    /// # Errors
    ///
    /// Returns an error if the process is not running.
    pub fn stop(&mut self, name: &str) -> anyhow::Result<()> {
        self.process(name)?.signal("STOP")
    }

    /// Resumes a suspended process with SIGCONT.
    ///
    /// # Errors
    ///
    /// Returns an error if the process is not running.
    pub fn go_on(&mut self, name: &str) -> anyhow::Result<()> {
        self.process(name)?.signal("CONT")
    }

    /// Requests a graceful shutdown of a process with SIGTERM.
    ///
    /// # Errors
    ///
    /// Returns an error if the process is not running.
    pub fn terminate(&mut self, name: &str) -> anyhow::Result<()> {
        self.process(name)?.signal("TERM")
    }

    /// Waits for a process to exit; returns whether its exit status is 0.
    ///
    /// # Errors
    ///
    /// Returns an error if the process still runs after `timeout`.
    pub fn wait_ended(&mut self, name: &str, timeout: Duration) -> anyhow::Result<bool> {
        self.process(name)?.wait_ended(timeout)
    }

    /// Kills a process if it runs and starts it with the same settings and addresses.
    ///
    /// # Errors
    ///
    /// Returns an error for `engines` and links, which get new ports at each start.
    pub fn restart(&mut self, name: &str) -> anyhow::Result<()> {
        if name == "engines" || name.starts_with("link-") {
            bail!("`{name}` cannot be restarted, because its ports are not fixed");
        }
        self.process(name)?.restart().map(|_| ())
    }

    /// Returns the names of the entries and agents in a region, for example to
    /// suspend all of them.
    #[must_use]
    pub fn names_in_region(&self, region: &str) -> Vec<String> {
        let mut names = Vec::new();
        for (index, place) in self.plan.entries.iter().enumerate() {
            if place.region == region {
                names.push(format!("entry-{index}"));
            }
        }
        for agent in &self.plan.agents {
            if agent.place.region == region {
                names.push(agent.id.clone());
            }
        }
        names
    }

    /// Simulates the crash of a VM: kills its agent and stops its engine for `down_ms`.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such VM or it has no engine.
    pub fn kill_vm(&mut self, vm: &str, down_ms: u64) -> anyhow::Result<()> {
        self.kill(vm)?;
        let options = EngineOptions {
            restart_ms: down_ms,
            ..self.plan.engine.clone()
        };
        self.set_engine(vm, &options)?;
        self.control_post(&format!("engine-{vm}"), "/crash", &Json::Null)
    }

    /// Waits until all entries and agents report ready on `/readyz`.
    ///
    /// # Errors
    ///
    /// The error names the process that did not become ready and includes the end of its log.
    pub fn wait_all_ready(&mut self) -> anyhow::Result<()> {
        let names: Vec<String> = self.processes.keys().cloned().collect();
        for name in names {
            if self.process(&name)?.plan.status_addr.is_some() {
                self.wait_ready(&name)?;
            }
        }
        Ok(())
    }

    /// Waits until one entry or agent reports ready on `/readyz`.
    ///
    /// # Errors
    ///
    /// The error includes the last response of `/readyz` and the end of the log.
    pub fn wait_ready(&mut self, name: &str) -> anyhow::Result<()> {
        let started_at = Instant::now();
        let status_addr = self.process(name)?.plan.status_addr;
        let addr = status_addr.with_context(|| format!("`{name}` has no status address"))?;
        loop {
            let answer = get_text(addr, "/readyz");
            let Err(error) = answer else {
                return Ok(());
            };
            let process = self.process(name)?;
            if process.pid().is_none() {
                bail!("{name} exited before it was ready\n{}", process.log_tail());
            }
            if started_at.elapsed() > READY_TIMEOUT {
                bail!(
                    "{name} did not become ready: {error}\n{}",
                    process.log_tail()
                );
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Polls `condition` until it returns true.
    ///
    /// # Errors
    ///
    /// Returns an error that starts with `what` if this takes longer than `timeout`.
    pub fn wait_until(
        &mut self,
        what: &str,
        timeout: Duration,
        mut condition: impl FnMut(&mut Self) -> bool,
    ) -> anyhow::Result<()> {
        let started_at = Instant::now();
        while !condition(self) {
            if started_at.elapsed() > timeout {
                bail!("{what}: condition not met after {timeout:?}");
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Returns the control address of a stand-in; engines are named `engine-<vm>`.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such stand-in.
    pub fn control(&self, name: &str) -> anyhow::Result<SocketAddr> {
        let found = self.controls.get(name).copied();
        found.with_context(|| format!("unknown stand-in `{name}`"))
    }

    /// Replaces the faults injected by a stand-in.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-in does not answer.
    pub fn set_faults(&self, name: &str, faults: &Faults) -> anyhow::Result<()> {
        self.control_post(name, "/faults", faults)
    }

    /// Replaces the options of the engine of a VM.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine does not answer.
    pub fn set_engine(&self, vm: &str, options: &EngineOptions) -> anyhow::Result<()> {
        self.control_post(&format!("engine-{vm}"), "/options", options)
    }

    /// Returns the ledger of the requests that `engine-<vm>` or `plain-<vm>` ran.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-in does not answer.
    pub fn ledger(&self, name: &str) -> anyhow::Result<LedgerPage> {
        self.control_get(name, "/ledger")
    }

    /// Reads JSON from the control address of a stand-in.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-in does not answer.
    pub fn control_get<T: DeserializeOwned>(&self, name: &str, path: &str) -> anyhow::Result<T> {
        let text = get_text(self.control(name)?, path)?;
        Ok(serde_json::from_str(&text)?)
    }

    fn control_post<T: Serialize>(&self, name: &str, path: &str, body: &T) -> anyhow::Result<()> {
        let url = format!("http://{}{path}", self.control(name)?);
        let response = attohttpc::post(url)
            .timeout(CALL_TIMEOUT)
            .json(body)?
            .send()
            .with_context(|| format!("request to {path} of `{name}` failed"))?;
        response.error_for_status()?;
        Ok(())
    }
}

/// Returns the body of a GET request; a status other than 200 is an error.
fn get_text(addr: SocketAddr, path: &str) -> anyhow::Result<String> {
    let response = attohttpc::get(format!("http://{addr}{path}"))
        .timeout(CALL_TIMEOUT)
        .send()?;
    let status = response.status();
    let text = response.text()?;
    if status != 200 {
        bail!("status {status}: {text}");
    }
    Ok(text)
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // Ends the daemons first, so that they do not log lost connections to the stand-ins.
        self.processes
            .retain(|_, process| process.plan.status_addr.is_none());
        self.processes.clear();
        if std::thread::panicking() {
            eprintln!("settings and logs are kept in {}", self.folder.display());
            return;
        }
        if let Err(error) = std::fs::remove_dir_all(&self.folder) {
            log::warn!("cannot remove {}: {error}", self.folder.display());
        }
    }
}
