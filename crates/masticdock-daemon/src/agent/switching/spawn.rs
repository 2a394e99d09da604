//! Worker threads of the driver.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use compact_str::CompactString;
use crossbeam::channel::{self, Receiver, RecvTimeoutError, Sender};
use masticdock_core::ids::VmId;
use masticdock_core::membership::{MemberStatus, Phase};
use masticdock_platform::{EngineClient, HttpSettings, ObjectClient, TableClient};
use prometheus::Registry;

use super::driver::Driver;
use super::manifest_cache;
use super::message::{Command, ExpiringOrder, Report};
use super::metrics::SwitchingMetrics;
use super::orders;
use super::slot_worker::{SlotWorker, TablePort};
use super::{SwitchingConfig, TransferPort};
use crate::agent::{GateState, ServingGate};
use crate::control::{self, Snapshot, TickContext, TickHook};
use crate::settings::{AgentSettings, PlatformSettings};

/// Time between two reads of the engine's status.
const ENGINE_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Dependencies of switching.
pub(crate) struct SwitchingParts<'a> {
    /// Settings of the agent.
    pub(crate) settings: &'a AgentSettings,
    /// Gate in front of the upstream.
    pub(crate) gate: Arc<ServingGate>,
    /// Interface to the transfer of weights.
    pub(crate) transfer: TransferPort,
    /// Base URL of the listener from which the engine reads weights.
    pub(crate) weights_url: String,
    /// Registry for the metrics.
    pub(crate) registry: &'a Registry,
}

/// Starts the worker threads and returns the hook for the control thread.
///
/// # Errors
///
/// Fails if the identifier of the VM or the state chart is invalid, a metric is
/// registered already or a thread cannot be started.
pub(crate) fn spawn(parts: SwitchingParts<'_>) -> anyhow::Result<TickHook> {
    if !parts.settings.upstream.engine {
        let tracker = LeavingTracker::new(parts.settings.node.id.clone(), Arc::clone(&parts.gate));
        return Ok(plain_hook(parts.gate, tracker));
    }
    let settings = parts.settings;
    let vm: VmId = settings.node.id.parse()?;
    let (report_sender, reports) = channel::unbounded();
    let workers = Workers::spawn(settings, &vm, &report_sender)?;
    let config = SwitchingConfig {
        vm,
        zone: settings.node.zone.clone(),
        slot_lease_ms: settings.slot_lease_ms,
        load_timeout_ms: settings.load_timeout_ms,
        weights_url: parts.weights_url,
    };
    let metrics = SwitchingMetrics::register(parts.registry)?;
    let mut tracker = LeavingTracker::new(settings.node.id.clone(), Arc::clone(&parts.gate));
    let now = control::mono_now();
    let mut driver = Driver::new(config, parts.gate, parts.transfer, metrics, now)?;
    Ok(Box::new(move |context: &TickContext<'_>| {
        for report in reports.try_iter() {
            driver.handle_report(report, context.now);
        }
        tracker.update(context.snapshot);
        let status = driver.tick(context.now, context.snapshot);
        for command in driver.take_commands() {
            workers.send(command);
        }
        Some(status)
    }))
}

/// Returns the hook of a plain service, which has no version: it serves once a
/// configuration is adopted.
fn plain_hook(gate: Arc<ServingGate>, mut tracker: LeavingTracker) -> TickHook {
    Box::new(move |context: &TickContext<'_>| {
        tracker.update(context.snapshot);
        if !context.snapshot.adopted {
            return None;
        }
        if gate.state() == GateState::NotServing {
            gate.set_state(GateState::Serving(None));
        }
        Some(MemberStatus {
            phase: Phase::Serving,
            ..MemberStatus::default()
        })
    })
}

/// Closes the gate while an operator or the fleet view marks the VM as leaving.
struct LeavingTracker {
    own_id: CompactString,
    gate: Arc<ServingGate>,
    marked: bool,
}

impl LeavingTracker {
    const fn new(own_id: CompactString, gate: Arc<ServingGate>) -> Self {
        Self {
            own_id,
            gate,
            marked: false,
        }
    }

    fn update(&mut self, snapshot: &Snapshot) {
        let marked = snapshot.marked_leaving.contains(&self.own_id);
        if marked == self.marked {
            return;
        }
        self.marked = marked;
        self.gate.set_leaving(marked || snapshot.leaving);
    }
}

/// Channels to the worker threads.
struct Workers {
    objects: Sender<Command>,
    table: Sender<Command>,
    engine: Sender<ExpiringOrder>,
}

impl Workers {
    fn spawn(
        settings: &AgentSettings,
        vm: &VmId,
        reports: &Sender<Report>,
    ) -> anyhow::Result<Self> {
        let platform = &settings.platform;
        let http = HttpSettings {
            timeout_ms: platform.timeout_ms,
        };
        let (objects, object_commands) = channel::unbounded();
        let store = ObjectClient::new(platform.object_store_url.clone(), http);
        let sender = reports.clone();
        spawn_worker("switch-objects", move || {
            run_object_worker(&object_commands, &store, &sender);
        })?;

        let (table, table_commands) = channel::unbounded();
        let port = table_port(platform, http);
        let mut slots = SlotWorker::new(port, vm.clone(), settings.slot_lease_ms);
        let sender = reports.clone();
        spawn_worker("switch-table", move || {
            run_table_worker(&table_commands, &mut slots, &sender);
        })?;

        let (engine, orders) = channel::unbounded();
        let client = EngineClient::new(settings.upstream.url.clone(), http);
        let sender = reports.clone();
        spawn_worker("switch-engine", move || {
            run_engine_worker(&orders, &client, &sender);
        })?;
        Ok(Self {
            objects,
            table,
            engine,
        })
    }

    /// Passes a command to its worker thread, which runs until the process ends.
    fn send(&self, command: Command) {
        let sent = match command {
            Command::ReadManifest(_) => self.objects.send(command).is_ok(),
            Command::Order(order) => self.engine.send(order).is_ok(),
            Command::Claim(_) | Command::IssueFence | Command::Renew | Command::Release => {
                self.table.send(command).is_ok()
            }
        };
        if !sent {
            log::debug!("a switching worker thread has ended");
        }
    }
}

fn spawn_worker(name: &str, run: impl FnOnce() + Send + 'static) -> anyhow::Result<()> {
    thread::Builder::new().name(name.to_owned()).spawn(run)?;
    Ok(())
}

fn table_port(platform: &PlatformSettings, http: HttpSettings) -> TablePort {
    let client = TableClient::new(
        platform.table_url.clone(),
        platform.table_name.clone(),
        http,
    );
    let writer = client.clone();
    TablePort {
        get: Box::new(move |key| client.get(key)),
        transact: Box::new(move |writes, token| writer.transact(writes, token)),
        clock: Box::new(control::mono_now),
    }
}

fn run_object_worker(commands: &Receiver<Command>, store: &ObjectClient, reports: &Sender<Report>) {
    for command in commands {
        let Command::ReadManifest(digest) = command else {
            continue;
        };
        let bytes = store.get(&manifest_cache::object_key(&digest));
        let read = manifest_cache::check_read(&digest, bytes);
        if reports.send(Report::Manifest(digest, read)).is_err() {
            return;
        }
    }
}

fn run_table_worker(
    commands: &Receiver<Command>,
    slots: &mut SlotWorker,
    reports: &Sender<Report>,
) {
    for command in commands {
        let report = match command {
            Command::Claim(key) => Report::Claimed(slots.claim(&key)),
            Command::IssueFence => Report::FenceIssued(slots.issue_fence()),
            Command::Renew => Report::Renewed(slots.renew()),
            Command::Release => {
                slots.release();
                continue;
            }
            Command::ReadManifest(_) | Command::Order(_) => continue,
        };
        if reports.send(report).is_err() {
            return;
        }
    }
}

/// Sends orders and reads the engine's status in between.
///
/// One thread does both, so a status reported after the outcome of an order was
/// read after the engine accepted the order.
fn run_engine_worker(
    orders: &Receiver<ExpiringOrder>,
    client: &EngineClient,
    reports: &Sender<Report>,
) {
    loop {
        let report = match orders.recv_timeout(ENGINE_POLL_INTERVAL) {
            Ok(order) => {
                let load = |order: &_| client.load(order);
                Report::Ordered(orders::send(&order, control::mono_now, load))
            }
            Err(RecvTimeoutError::Timeout) => Report::Engine(client.status()),
            Err(RecvTimeoutError::Disconnected) => return,
        };
        if reports.send(report).is_err() {
            return;
        }
    }
}
