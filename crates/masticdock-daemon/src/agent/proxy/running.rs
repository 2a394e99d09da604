//! Requests in progress on the upstream, its load and its crashes.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::thread;
use std::time::Duration;

use compact_str::{CompactString, ToCompactString};
use masticdock_core::ids::{VersionId, VmId};
use masticdock_core::poison::{CrashRecord, Fingerprint};
use masticdock_core::units::UnixMs;
use masticdock_platform::{EngineClient, EngineStatus, HttpSettings, PlatformErrorKind};
use serde::{Deserialize, Serialize};

use super::now_unix_ms;
use crate::agent::{GateState, ServingGate};
use crate::control::{ControlHandle, ControlMsg};
use crate::event_log::log_event;
use crate::settings::UpstreamSettings;

/// Time between two reads of the engine's status.
const STATUS_INTERVAL: Duration = Duration::from_millis(250);

/// Time-out of a read of the engine's status.
const STATUS_TIMEOUT_MS: u64 = 500;

/// Looks at the status of an engine whose connection broke.
const CRASH_LOOKS_MAX: u32 = 10;

/// Time between two such looks.
const CRASH_LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// Load of an upstream as told to entries.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LoadReport {
    /// Requests that the agent has admitted and not ended.
    pub(crate) in_progress: u32,
    /// Requests waiting in the engine, as it last reported.
    pub(crate) queued: u32,
    /// Version in service.
    pub(crate) version: Option<VersionId>,
    /// True when the gate admits requests.
    pub(crate) serving: bool,
}

impl LoadReport {
    /// Returns the report as JSON text.
    pub(crate) fn to_json(&self) -> String {
        // Serialisation of strings and numbers does not fail.
        serde_json::to_string(self).unwrap_or_default()
    }
}

#[derive(Default)]
struct State {
    running: BTreeMap<Fingerprint, u32>,
    suspect: Option<(Fingerprint, u32)>,
    status: Option<EngineStatus>,
    crashed_boot: Option<CompactString>,
    crashed_at: UnixMs,
    counted: BTreeSet<Fingerprint>,
}

/// Requests in progress on the upstream.
pub(super) struct Running {
    vm: VmId,
    engine: Option<EngineClient>,
    control: ControlHandle,
    state: Mutex<State>,
}

impl Running {
    /// Starts the reads of the engine's status.
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
                .spawn(move || poll(&weak))?;
        }
        Ok(running)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the load that entries see.
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
    /// Returns `None` for a suspect while another suspect runs.
    pub(super) fn enter(
        self: &Arc<Self>,
        fingerprint: Fingerprint,
        suspect: bool,
    ) -> Option<RunningGuard> {
        let mut state = self.lock();
        if suspect {
            match &mut state.suspect {
                Some((other, _)) if *other != fingerprint => return None,
                Some((_, count)) => *count += 1,
                none => *none = Some((fingerprint, 1)),
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

    /// Finds out whether the upstream died under a request whose connection broke,
    /// and reports one death for each fingerprint in progress.
    pub(super) fn report_if_crashed(&self, guard: &RunningGuard) -> Option<CrashRecord> {
        let engine = self.engine.as_ref()?;
        for _ in 0..CRASH_LOOKS_MAX {
            let crashed = match engine.status() {
                Ok(status) => guard.boot.as_ref().is_some_and(|boot| *boot != status.boot),
                Err(error) if error.kind == PlatformErrorKind::NotSent => true,
                // A dying engine may still accept connections for a moment.
                Err(_) => {
                    thread::sleep(CRASH_LOOK_INTERVAL);
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
            // Without a known boot, deaths within one second count as one.
            compact_str::format_compact!("unknown-{}", now_unix_ms() / 1_000)
        });
        // The boot read last is gone; requests that start before the next read have none.
        state.status = None;
        if state.crashed_boot.as_ref() != Some(&boot) {
            state.crashed_boot = Some(boot.clone());
            state.crashed_at = UnixMs(now_unix_ms());
            state.counted.clear();
            log_event!(
                masticdock_core::event::ENGINE_CRASHED,
                "engine of {} (boot {boot}) crashed with {} requests in progress",
                self.vm,
                state.running.values().sum::<u32>()
            );
        }
        let mut dead: Vec<Fingerprint> = state.running.keys().copied().collect();
        dead.push(guard.fingerprint);
        let at_unix_ms = state.crashed_at;
        let record = |fingerprint| CrashRecord {
            fingerprint,
            vm: self.vm.to_compact_string(),
            at_unix_ms,
        };
        for fingerprint in dead {
            // One death of the engine counts once for a request, however often it ran there.
            if state.counted.insert(fingerprint) {
                self.control.send(ControlMsg::Crash(record(fingerprint)));
            }
        }
        record(guard.fingerprint)
    }
}

fn poll(weak: &Weak<Running>) {
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

/// One running request.
pub(super) struct RunningGuard {
    running: Arc<Running>,
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
