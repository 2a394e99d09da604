//! Tracking of running requests, the load of the upstream and its crashes.

use std::collections::{BTreeMap, BTreeSet};
use std::io::ErrorKind;
use std::net::TcpStream;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::thread;
use std::time::Duration;

use compact_str::{CompactString, ToCompactString};
use masticdock_core::ids::{VersionId, VmId};
use masticdock_core::poison::{CrashRecord, Fingerprint};
use masticdock_core::units::UnixMs;
use masticdock_platform::{EngineClient, EngineStatus, HttpSettings, PlatformErrorKind};
use serde::{Deserialize, Serialize};
use url::Url;

use super::now_unix_ms;
use crate::agent::{GateState, ServingGate};
use crate::control::{ControlHandle, ControlMsg};
use crate::event_log::log_event;
use crate::settings::UpstreamSettings;

/// Time between two reads of the engine's status.
const STATUS_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout of a read of the engine's status.
const STATUS_TIMEOUT_MS: u64 = 500;

/// Maximum number of status reads that check whether an engine whose connection
/// failed has crashed.
const CRASH_CHECKS_MAX: u32 = 10;

/// Time between two such reads.
const CRASH_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Load of an upstream as reported to entries.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LoadReport {
    /// Number of requests that the agent has admitted and that have not ended.
    pub(crate) in_progress: u32,
    /// Number of requests queued in the engine, as it last reported.
    pub(crate) queued: u32,
    /// Version that the upstream serves.
    pub(crate) version: Option<VersionId>,
    /// True when the gate admits requests.
    pub(crate) serving: bool,
}

impl LoadReport {
    /// Returns the report as JSON text.
    pub(crate) fn to_json(&self) -> String {
        // Serialization of strings and numbers does not fail.
        serde_json::to_string(self).unwrap_or_default()
    }
}

#[derive(Default)]
struct State {
    /// Number of running requests by fingerprint.
    running: BTreeMap<Fingerprint, u32>,
    /// Suspect that runs and the number of its requests.
    suspect: Option<(Fingerprint, u32)>,
    /// Last status of the engine; `None` if unknown.
    status: Option<EngineStatus>,
    /// Boot id of the engine that crashed last.
    crashed_boot: Option<CompactString>,
    crashed_at: UnixMs,
    /// Fingerprints for which the last crash was reported.
    reported: BTreeSet<Fingerprint>,
}

/// Tracks the running requests of the upstream and reports its crashes.
pub(super) struct RunningRequests {
    vm: VmId,
    upstream_url: String,
    /// Client of an engine; `None` in front of a plain service.
    engine: Option<EngineClient>,
    control: ControlHandle,
    state: Mutex<State>,
}

impl RunningRequests {
    /// Starts the thread that polls the engine's status, if the upstream is an engine.
    pub(super) fn spawn(
        upstream: &UpstreamSettings,
        vm: VmId,
        control: &ControlHandle,
    ) -> std::io::Result<Arc<Self>> {
        let http = HttpSettings {
            timeout_ms: STATUS_TIMEOUT_MS,
        };
        let running = Arc::new(Self {
            vm,
            upstream_url: upstream.url.clone(),
            engine: upstream
                .engine
                .then(|| EngineClient::new(upstream.url.clone(), http)),
            control: control.clone(),
            state: Mutex::default(),
        });
        if running.engine.is_some() {
            let weak = Arc::downgrade(&running);
            thread::Builder::new()
                .name("engine-status".to_owned())
                .spawn(move || poll_status(&weak))?;
        }
        Ok(running)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the load to report to entries.
    pub(super) fn load(&self, gate: &ServingGate) -> LoadReport {
        let gate_state = gate.state();
        LoadReport {
            in_progress: gate.in_progress(),
            queued: self
                .lock()
                .status
                .as_ref()
                .map_or(0, |status| status.queued),
            serving: matches!(gate_state, GateState::Serving(_)),
            version: match gate_state {
                GateState::Serving(version) => version,
                GateState::NotServing | GateState::Draining => None,
            },
        }
    }

    /// Counts a request as running until the guard is dropped.
    ///
    /// Returns `None` for a suspect while a different suspect runs.
    pub(super) fn track(
        self: &Arc<Self>,
        fingerprint: Fingerprint,
        suspect: bool,
    ) -> Option<RunningGuard> {
        let mut state = self.lock();
        if suspect {
            match &mut state.suspect {
                Some((other, _)) if *other != fingerprint => return None,
                Some((_, count)) => *count += 1,
                slot => *slot = Some((fingerprint, 1)),
            }
        }
        *state.running.entry(fingerprint).or_default() += 1;
        let boot = state.status.as_ref().map(|status| status.boot.clone());
        Some(RunningGuard {
            running: Arc::clone(self),
            fingerprint,
            suspect,
            boot,
        })
    }

    /// Checks whether the upstream crashed while it ran a request whose connection
    /// failed, and if so reports the crash for each running fingerprint.
    pub(super) fn report_if_crashed(&self, guard: &RunningGuard) -> Option<CrashRecord> {
        let Some(engine) = &self.engine else {
            let crashed = refuses_connections(&self.upstream_url);
            return crashed.then(|| self.report(guard));
        };
        for _ in 0..CRASH_CHECKS_MAX {
            let crashed = match engine.status() {
                Ok(status) => guard.boot.as_ref().is_some_and(|boot| *boot != status.boot),
                Err(error) if error.kind == PlatformErrorKind::NotSent => true,
                // A crashing engine may accept connections for a short time.
                Err(_) => {
                    thread::sleep(CRASH_CHECK_INTERVAL);
                    continue;
                }
            };
            return crashed.then(|| self.report(guard));
        }
        None
    }

    fn report(&self, guard: &RunningGuard) -> CrashRecord {
        let mut state = self.lock();
        let boot = guard.boot.clone().unwrap_or_else(|| {
            // If the boot id is unknown, crashes within one second count as one.
            compact_str::format_compact!("unknown-{}", now_unix_ms() / 1_000)
        });
        // The last known boot id is obsolete; requests that start before the next status
        // read have none.
        state.status = None;
        if state.crashed_boot.as_ref() != Some(&boot) {
            state.crashed_boot = Some(boot.clone());
            state.crashed_at = UnixMs(now_unix_ms());
            state.reported.clear();
            log_event!(
                masticdock_core::event::ENGINE_CRASHED,
                "upstream of {} (boot {boot}) crashed with {} requests in progress",
                self.vm,
                state.running.values().sum::<u32>()
            );
        }
        let mut fingerprints: Vec<Fingerprint> = state.running.keys().copied().collect();
        fingerprints.push(guard.fingerprint);
        let at_unix_ms = state.crashed_at;
        let record = |fingerprint| CrashRecord {
            fingerprint,
            vm: self.vm.to_compact_string(),
            at_unix_ms,
        };
        for fingerprint in fingerprints {
            // One crash counts once for a fingerprint, however many of its requests ran.
            if state.reported.insert(fingerprint) {
                self.control.send(ControlMsg::Crash(record(fingerprint)));
            }
        }
        record(guard.fingerprint)
    }
}

/// Returns whether a plain service, which reports no status, has crashed: nothing listens on
/// its port any more.
fn refuses_connections(url: &str) -> bool {
    let addrs = url.parse::<Url>().ok();
    let addrs = addrs.and_then(|url| url.socket_addrs(|| None).ok());
    let Some(addr) = addrs.as_ref().and_then(|addrs| addrs.first()) else {
        return false;
    };
    let timeout = Duration::from_millis(STATUS_TIMEOUT_MS);
    // The port may close shortly after the connections.
    thread::sleep(CRASH_CHECK_INTERVAL);
    TcpStream::connect_timeout(addr, timeout)
        .is_err_and(|error| error.kind() == ErrorKind::ConnectionRefused)
}

/// Reads the engine's status until the tracker is dropped.
fn poll_status(weak: &Weak<RunningRequests>) {
    loop {
        let Some(running) = weak.upgrade() else {
            return;
        };
        if let Some(Ok(status)) = running.engine.as_ref().map(EngineClient::status) {
            running.lock().status = Some(status);
        }
        drop(running);
        thread::sleep(STATUS_INTERVAL);
    }
}

/// Counts one request as running until it is dropped.
pub(super) struct RunningGuard {
    running: Arc<RunningRequests>,
    fingerprint: Fingerprint,
    suspect: bool,
    boot: Option<CompactString>,
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        let mut state = self.running.lock();
        if let Some(count) = state.running.get_mut(&self.fingerprint) {
            *count -= 1;
            if *count == 0 {
                state.running.remove(&self.fingerprint);
            }
        }
        if !self.suspect {
            return;
        }
        if let Some((_, count)) = &mut state.suspect {
            *count -= 1;
            if *count == 0 {
                state.suspect = None;
            }
        }
    }
}
