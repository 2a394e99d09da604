//! Driver of one VM with fakes of its dependencies and a clock set by the test.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use compact_str::CompactString;
use masticdock_core::config_log::{ConfigState, StoredResource};
use masticdock_core::ids::{AdapterId, Digest, Revision, VersionId};
use masticdock_core::manifest::Manifest;
use masticdock_core::membership::{Member, MemberStatus, Phase};
use masticdock_core::resource::{Labels, Resource};
use masticdock_core::units::MonoMs;
use masticdock_platform::PlatformErrorKind;
use prometheus::Registry;

use super::super::SwitchingConfig;
use super::super::driver::Driver;
use super::super::manifest_cache;
use super::super::message::{Command, ExpiringOrder, Report};
use super::super::metrics::SwitchingMetrics;
use super::super::orders;
use super::super::slot_worker::{SlotWorker, TablePort};
use super::fakes::{FakeEngine, FakeTable, FakeTransfer, platform_error, transfer_port};
use crate::agent::{GateState, ServingGate};
use crate::control::Snapshot;

pub(super) const LEASE_MS: u64 = 15_000;
pub(super) const LOAD_TIMEOUT_MS: u64 = 300_000;

/// Configuration, object store and members that the agents under test share.
#[derive(Default, Clone)]
pub(super) struct FakeFleet {
    pub(super) resources: Vec<StoredResource>,
    pub(super) objects: BTreeMap<String, Vec<u8>>,
    pub(super) members: Vec<Member>,
    pub(super) marked_leaving: BTreeSet<CompactString>,
}

pub(super) fn resource(yaml: &str) -> Resource {
    serde_yaml_ng::from_str(yaml).unwrap()
}

pub(super) fn member(id: &str) -> Member {
    serde_json::from_value(serde_json::json!({
        "id": id, "role": "agent", "liveness": "alive", "incarnation": 0, "boot_epoch": 0,
        "region": "wien", "zone": "a", "peer_addr": "127.0.0.1:1", "traffic_addr": null,
        "status": { "seq": 0, "phase": "idle", "serving_version": null, "leaving": false,
                    "services": [], "failed": null },
    }))
    .unwrap()
}

impl FakeFleet {
    /// Creates VMs from `vm-0`, versions v1 to v3 and a rollout `r` that assigns v1.
    pub(super) fn new(vms: usize) -> Self {
        let mut fleet = Self::default();
        for index in 0..vms {
            fleet.members.push(member(&format!("vm-{index}")));
        }
        for version in ["v1", "v2", "v3"] {
            fleet.publish("version", version, "model: m");
        }
        fleet.apply_rollout("v1", "");
        fleet
    }

    pub(super) fn put(&mut self, resource: Resource) {
        let revision = Revision(self.resources.len() as u64 + 1);
        let key = resource.key();
        self.resources.retain(|stored| stored.resource.key() != key);
        self.resources.push(StoredResource { revision, resource });
    }

    pub(super) fn publish(&mut self, kind: &str, name: &str, fields: &str) -> Digest {
        let manifest = Manifest::build(name, name.as_bytes(), 4);
        let (bytes, digest) = manifest.encode();
        self.objects
            .insert(manifest_cache::object_key(&digest), bytes);
        let size = name.len();
        self.put(resource(&format!(
            "{{kind: {kind}, name: {name}, {fields}, manifest: '{digest}', size_bytes: {size}}}"
        )));
        digest
    }

    pub(super) fn apply_rollout(&mut self, version: &str, fields: &str) {
        self.put(resource(&format!(
            "{{kind: rollout, name: r, selector: 'region=wien', version: {version}, {fields}}}"
        )));
    }

    pub(super) fn snapshot(&self, seq: u64) -> Arc<Snapshot> {
        let revision = Revision(seq);
        let config = ConfigState::from_resources(revision, self.resources.clone());
        Arc::new(Snapshot {
            seq,
            config: Arc::new(config),
            adopted: true,
            members: Arc::new(self.members.clone()),
            labels: Arc::new(BTreeMap::<CompactString, Labels>::new()),
            marked_leaving: Arc::new(self.marked_leaving.clone()),
            ..Snapshot::default()
        })
    }
}

pub(super) struct TestAgent {
    pub(super) index: usize,
    pub(super) driver: Driver,
    pub(super) gate: Arc<ServingGate>,
    pub(super) clock: Arc<AtomicU64>,
    pub(super) engine: FakeEngine,
    pub(super) transfer: Arc<Mutex<FakeTransfer>>,
    pub(super) table: Arc<Mutex<FakeTable>>,
    slots: SlotWorker,
    pub(super) status: MemberStatus,
    /// Orders that the worker thread has not sent yet; `None` to send orders immediately.
    pub(super) queued_orders: Option<Vec<ExpiringOrder>>,
    /// True to skip the lease check before an order, as a naive agent does.
    pub(super) skips_lease_check: bool,
    seq: u64,
}

impl TestAgent {
    pub(super) fn new(index: usize, table: &Arc<Mutex<FakeTable>>, clock: &Arc<AtomicU64>) -> Self {
        let vm = format!("vm-{index}").parse().unwrap();
        let config = SwitchingConfig {
            vm,
            zone: "a".parse().unwrap(),
            slot_lease_ms: LEASE_MS,
            load_timeout_ms: LOAD_TIMEOUT_MS,
            weights_url: "http://weights".to_owned(),
        };
        let transfer = Arc::new(Mutex::new(FakeTransfer::default()));
        let gate = ServingGate::new();
        let (reader, writer, timer) = (Arc::clone(table), Arc::clone(table), Arc::clone(clock));
        let port = TablePort {
            get: Box::new(move |key| reader.lock().unwrap().get(key)),
            transact: Box::new(move |writes, _| writer.lock().unwrap().transact(writes)),
            clock: Box::new(move || MonoMs(timer.load(Ordering::Relaxed))),
        };
        let slots = SlotWorker::new(port, config.vm.clone(), LEASE_MS);
        let metrics = SwitchingMetrics::register(&Registry::new()).unwrap();
        let driver = Driver::new(
            config,
            Arc::clone(&gate),
            transfer_port(&transfer),
            metrics,
            MonoMs(0),
        );
        Self {
            index,
            driver: driver.unwrap(),
            gate,
            clock: Arc::clone(clock),
            engine: FakeEngine::new(),
            transfer,
            table: Arc::clone(table),
            slots,
            status: MemberStatus::default(),
            queued_orders: None,
            skips_lease_check: false,
            seq: 0,
        }
    }

    /// Creates the only VM of a fleet.
    pub(super) fn single() -> Self {
        Self::new(0, &Arc::default(), &Arc::default())
    }

    pub(super) fn now(&self) -> MonoMs {
        MonoMs(self.clock.load(Ordering::Relaxed))
    }

    pub(super) fn advance(&self, ms: u64) {
        self.clock.fetch_add(ms, Ordering::Relaxed);
    }

    /// Reads the engine's status, ticks and runs the resulting commands.
    pub(super) fn step(&mut self, fleet: &FakeFleet) {
        let status = self.engine.status.clone();
        self.driver
            .handle_report(Report::Engine(Ok(status)), self.now());
        self.tick(fleet);
    }

    /// Ticks, runs the commands and, if there were any, ticks once more.
    pub(super) fn tick(&mut self, fleet: &FakeFleet) {
        for _ in 0..2 {
            self.seq += 1;
            let snapshot = fleet.snapshot(self.seq);
            self.status = self.driver.tick(self.now(), &snapshot);
            let commands = self.driver.take_commands();
            if commands.is_empty() {
                return;
            }
            for command in commands {
                if let Some(report) = self.execute(command, fleet) {
                    self.driver.handle_report(report, self.now());
                }
            }
        }
    }

    pub(super) fn steps(&mut self, fleet: &FakeFleet, count: usize) {
        for _ in 0..count {
            self.step(fleet);
            self.advance(50);
        }
    }

    fn execute(&mut self, command: Command, fleet: &FakeFleet) -> Option<Report> {
        Some(match command {
            Command::ReadManifest(digest) => {
                let bytes = fleet
                    .objects
                    .get(&manifest_cache::object_key(&digest))
                    .cloned();
                let read = bytes.ok_or_else(|| platform_error(PlatformErrorKind::NotFound));
                Report::Manifest(digest, manifest_cache::check_read(&digest, read))
            }
            Command::Claim(key) => Report::Claimed(self.slots.claim(&key)),
            Command::IssueFence => Report::FenceIssued(self.slots.issue_fence()),
            Command::Renew => Report::Renewed(self.slots.renew()),
            Command::Release => {
                self.slots.release();
                return None;
            }
            Command::Order(order) => {
                if let Some(held) = &mut self.queued_orders {
                    held.push(order);
                    return None;
                }
                self.send(&order)
            }
        })
    }

    /// Sends an order as the worker thread does.
    pub(super) fn send(&mut self, order: &ExpiringOrder) -> Report {
        let now = if self.skips_lease_check {
            MonoMs(0)
        } else {
            self.now()
        };
        let engine = std::cell::RefCell::new(&mut self.engine);
        let result = orders::send(order, || now, |order| engine.borrow_mut().load(order));
        Report::Ordered(result)
    }

    /// Sends the queued orders as the worker thread does once it resumes.
    pub(super) fn send_queued_orders(&mut self) {
        for order in self.queued_orders.take().unwrap_or_default() {
            let report = self.send(&order);
            self.driver.handle_report(report, self.now());
        }
    }

    pub(super) fn mark_verified(&self, digest: Digest) {
        self.transfer.lock().unwrap().verified.insert(digest);
    }

    /// Marks all currently wanted copies as verified.
    pub(super) fn mark_wanted_verified(&self) {
        let mut transfer = self.transfer.lock().unwrap();
        let wanted: Vec<Digest> = transfer.wanted.iter().map(|copy| copy.digest).collect();
        transfer.verified.extend(wanted);
    }

    pub(super) fn phase(&self) -> Phase {
        self.status.phase
    }

    pub(super) fn serving(&self) -> Option<&str> {
        self.status.serving_version.as_ref().map(VersionId::as_str)
    }

    pub(super) fn gate_version(&self) -> Option<String> {
        match self.gate.state() {
            GateState::Serving(version) => version.map(|version| version.to_string()),
            _ => None,
        }
    }

    /// Runs the VM until it serves the assigned version, if it can.
    pub(super) fn complete_switch(&mut self, fleet: &FakeFleet) {
        for _ in 0..10 {
            self.mark_wanted_verified();
            self.steps(fleet, 2);
            self.engine.finish_load();
        }
        self.steps(fleet, 2);
    }

    /// Runs the VM until its copies are verified and it claims a slot.
    pub(super) fn fetch_and_verify(&mut self, fleet: &FakeFleet) {
        self.steps(fleet, 4);
        self.mark_wanted_verified();
        self.step(fleet);
    }
}

/// Creates a VM that serves v1 and a fleet whose rollout assigns v2 to it.
pub(super) fn serving_v1() -> (TestAgent, FakeFleet) {
    let mut fleet = FakeFleet::new(1);
    let mut agent = TestAgent::single();
    agent.complete_switch(&fleet);
    assert_eq!(
        (agent.phase(), agent.serving()),
        (Phase::Serving, Some("v1"))
    );
    fleet.apply_rollout("v2", "max_load_failures: 1");
    (agent, fleet)
}

pub(super) fn adapter(name: &str) -> AdapterId {
    name.parse().unwrap()
}
