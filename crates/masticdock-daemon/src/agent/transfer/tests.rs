use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, Weak};
use std::thread;
use std::time::Duration;

use compact_str::{CompactString, format_compact};
use masticdock_core::ids::Digest;
use masticdock_core::manifest::Manifest;
use masticdock_core::rendezvous;
use masticdock_core::units::{ByteCount, BytesPerSecond, Share};

use super::handle::spawn_with;
use super::origin::{OnSlice, OriginRange, OriginReader};
use super::{TransferConfig, TransferHandle, TransferPeer, WantedCopy};
use crate::net::rpc::{PeerReply, PeerRequest, RpcError, RpcErrorKind, RpcHandle};
use crate::settings::{LinkSettings, TransferSettings};

const CHUNK_BYTES: usize = 1_024;
const CHUNKS: usize = 24;
const REGIONS: usize = 3;
const VMS: usize = 12;

/// Maximum number of polls of one wait; only a transfer that hangs reaches it.
const WAIT_POLLS_MAX: usize = 6_000;
const POLL_INTERVAL: Duration = Duration::from_millis(10);

#[derive(Default)]
struct Faults {
    /// VMs that send no requests, answer none and cannot read from the origin.
    killed: BTreeSet<usize>,
    /// VMs whose replies with chunks never arrive although the connection stays open.
    stalled: BTreeSet<usize>,
    /// VMs that send chunks with a flipped bit.
    corrupting: BTreeSet<usize>,
    /// Regions that can reach neither the origin nor other regions.
    isolated: BTreeSet<usize>,
    /// Regions that cannot reach the origin.
    origin_unreachable: BTreeSet<usize>,
    /// VMs whose origin reads do not return.
    origin_reads_hang: BTreeSet<usize>,
    /// Number of further origin reads that return corrupt data.
    origin_corrupt_reads: usize,
}

/// Agents of one process that call each other through a fake network.
#[derive(Default)]
struct FakeNetwork {
    agents: Mutex<Vec<TransferHandle>>,
    faults: Mutex<Faults>,
    objects: Mutex<BTreeMap<CompactString, Arc<Vec<u8>>>>,
    /// Number of completed origin reads by (region, object, offset).
    reads: Mutex<BTreeMap<(usize, CompactString, u64), usize>>,
}

const fn region_of(vm: usize) -> usize {
    vm % REGIONS
}

fn peer(vm: usize) -> TransferPeer {
    let region = region_of(vm);
    TransferPeer {
        id: format_compact!("vm-{vm}"),
        region: format!("region-{region}").parse().unwrap(),
        zone: format!("zone-{region}-{}", vm / REGIONS % 2)
            .parse()
            .unwrap(),
        peer_addr: SocketAddr::from(([127, 0, 0, 1], u16::try_from(vm).unwrap() + 1)),
    }
}

fn peers() -> Arc<Vec<TransferPeer>> {
    Arc::new((0..VMS).map(peer).collect())
}

fn settings() -> TransferSettings {
    TransferSettings {
        announce_interval_ms: 20,
        stall_timeout_ms: 150,
        seeding_ms: 600_000,
        ..TransferSettings::default()
    }
}

impl FakeNetwork {
    fn start() -> Arc<Self> {
        let net = Arc::new(Self::default());
        for vm in 0..VMS {
            let config = TransferConfig {
                own: peer(vm),
                links: LinkSettings {
                    inter_region_rate_bytes_per_s: BytesPerSecond(0),
                    ..LinkSettings::default()
                },
                settings: settings(),
            };
            let agent = spawn_with(config, &net.origin(vm), net.rpc(vm)).unwrap();
            net.agents.lock().unwrap().push(agent);
        }
        net
    }

    fn rpc(self: &Arc<Self>, from: usize) -> RpcHandle {
        let net: Weak<Self> = Arc::downgrade(self);
        RpcHandle::new(move |addr, request, timeout, on_reply| {
            let Some(net) = net.upgrade() else {
                return;
            };
            let to = usize::from(addr.port()) - 1;
            let error = |kind| RpcError {
                kind,
                peer: addr,
                message: "injected fault".to_owned(),
            };
            let faults = net.faults.lock().unwrap();
            let regions = [region_of(from), region_of(to)];
            let isolated =
                regions[0] != regions[1] && regions.iter().any(|r| faults.isolated.contains(r));
            if isolated || faults.killed.contains(&to) || faults.killed.contains(&from) {
                on_reply(Err(error(RpcErrorKind::Unreachable)));
                return;
            }
            let is_chunk_request = matches!(request, PeerRequest::Chunk { .. });
            if is_chunk_request && faults.stalled.contains(&to) {
                let timed_out = error(RpcErrorKind::TimedOut);
                thread::spawn(move || {
                    thread::sleep(timeout);
                    on_reply(Err(timed_out));
                });
                return;
            }
            let corrupts_chunks = faults.corrupting.contains(&to);
            drop(faults);
            let agent = net.agents.lock().unwrap().get(to).cloned();
            let Some(agent) = agent else {
                on_reply(Err(error(RpcErrorKind::Unreachable)));
                return;
            };
            let respond = Box::new(move |reply| match reply {
                PeerReply::Chunk(data) if corrupts_chunks => {
                    let mut data = data.to_vec();
                    data[0] ^= 1;
                    on_reply(Ok(PeerReply::Chunk(data.into())));
                }
                reply => on_reply(Ok(reply)),
            });
            agent.handle_call(peer(from).id, request, respond);
        })
    }

    fn origin(self: &Arc<Self>, vm: usize) -> OriginReader {
        let net: Weak<Self> = Arc::downgrade(self);
        Arc::new(move |range: &OriginRange, _: OnSlice<'_>| {
            let net = net.upgrade().ok_or("the test has ended")?;
            net.read_origin(vm, range)
        })
    }

    fn read_origin(&self, vm: usize, range: &OriginRange) -> Result<Vec<u8>, String> {
        let hangs = |faults: &Faults| faults.origin_reads_hang.contains(&vm);
        for _ in 0..WAIT_POLLS_MAX {
            if !hangs(&self.faults.lock().unwrap()) {
                break;
            }
            thread::sleep(POLL_INTERVAL);
        }
        let mut faults = self.faults.lock().unwrap();
        let region = region_of(vm);
        let unreachable =
            faults.isolated.contains(&region) || faults.origin_unreachable.contains(&region);
        if unreachable || faults.killed.contains(&vm) {
            return Err("the origin cannot be reached".to_owned());
        }
        let object = self.objects.lock().unwrap()[&range.object].clone();
        let start = usize::try_from(range.offset).unwrap();
        let end = start + usize::try_from(range.length).unwrap();
        let mut data = object[start..end].to_vec();
        if faults.origin_corrupt_reads > 0 {
            faults.origin_corrupt_reads -= 1;
            data[0] ^= 1;
            return Ok(data);
        }
        let key = (region, range.object.clone(), range.offset);
        *self.reads.lock().unwrap().entry(key).or_default() += 1;
        Ok(data)
    }

    fn publish(&self, name: &str, weights: &[u8]) -> WantedCopy {
        let manifest = Manifest {
            object: name.into(),
            total_bytes: ByteCount(weights.len() as u64),
            chunk_bytes: ByteCount(CHUNK_BYTES as u64),
            chunks: weights.chunks(CHUNK_BYTES).map(Digest::of).collect(),
            root: Digest::of(weights),
        };
        let mut objects = self.objects.lock().unwrap();
        objects.insert(name.into(), Arc::new(weights.to_vec()));
        WantedCopy {
            digest: manifest.encode().1,
            manifest: Arc::new(manifest),
            peers: peers(),
            origin_weighting: Share::default(),
        }
    }

    fn want(&self, wanted: &WantedCopy) {
        for agent in self.agents.lock().unwrap().iter() {
            agent.set_wanted(vec![wanted.clone()]);
        }
    }

    fn agent(&self, vm: usize) -> TransferHandle {
        self.agents.lock().unwrap()[vm].clone()
    }

    fn held(&self, vm: usize, wanted: &WantedCopy) -> usize {
        let progress = self.agent(vm).progress(&wanted.digest);
        progress.map_or(0, |progress| progress.chunks_held)
    }

    fn wait_for(&self, what: &str, condition: impl Fn(&Self) -> bool) {
        for _ in 0..WAIT_POLLS_MAX {
            if condition(self) {
                return;
            }
            thread::sleep(POLL_INTERVAL);
        }
        panic!("timed out waiting for: {what}");
    }

    /// Waits until all VMs except those in `except` hold exactly these weights.
    fn wait_complete(&self, wanted: &WantedCopy, weights: &[u8], except: &[usize]) {
        for vm in 0..VMS {
            if except.contains(&vm) {
                continue;
            }
            self.wait_for(&format!("vm-{vm} to complete"), |net| {
                net.agent(vm).verified_copy(&wanted.digest).is_some()
            });
            let copy = self.agent(vm).verified_copy(&wanted.digest).unwrap();
            assert!(copy.chunks.concat() == weights, "vm-{vm} holds wrong bytes");
        }
    }

    fn origin_reads_in(&self, region: usize) -> usize {
        let reads = self.reads.lock().unwrap();
        let reads_in_region = reads.iter().filter(|((at, ..), _)| *at == region);
        reads_in_region.map(|(_, count)| count).sum()
    }
}

fn weights(seed: u8) -> Vec<u8> {
    let mut bytes = Vec::new();
    for chunk in 0..CHUNKS {
        let tag = u8::try_from(chunk).unwrap();
        bytes.extend((0..CHUNK_BYTES).map(|at| seed ^ tag ^ at.to_le_bytes()[0]));
    }
    bytes
}

/// Returns the VM of a region that reads `chunk` from the origin.
fn origin_reader_of(chunk: &Digest, region: usize) -> usize {
    let vms: Vec<usize> = (0..VMS).filter(|&vm| region_of(vm) == region).collect();
    let ids: Vec<CompactString> = vms.iter().map(|&vm| peer(vm).id).collect();
    let ranked = rendezvous::rank(chunk.as_bytes(), &ids, CompactString::as_str);
    vms[ids.iter().position(|id| id == ranked[0]).unwrap()]
}

/// Guards against every VM of a region reading the whole copy from the origin.
#[test]
fn each_region_reads_about_one_copy_from_the_origin() {
    let net = FakeNetwork::start();
    let weights = weights(1);
    let wanted = net.publish("v1", &weights);
    net.want(&wanted);
    net.wait_complete(&wanted, &weights, &[]);
    for region in 0..REGIONS {
        let reads = net.origin_reads_in(region);
        assert!(reads >= CHUNKS, "region {region}: {reads} reads");
        // On a busy host a reader may miss its deadline, so a few takeovers are
        // allowed. Without ranks, there would be four times as many reads.
        assert!(reads <= CHUNKS * 3 / 2, "region {region}: {reads} reads");
    }
}

/// Guards against a transfer that waits for a killed VM that is still on the member
/// list.
#[test]
fn killed_vm_does_not_block_other_vms() {
    let net = FakeNetwork::start();
    let weights = weights(2);
    let wanted = net.publish("v1", &weights);
    net.want(&wanted);
    net.wait_for("vm-4 to hold some chunks", |net| net.held(4, &wanted) > 2);
    net.faults.lock().unwrap().killed.insert(4);
    net.wait_complete(&wanted, &weights, &[4]);
}

/// Guards against chunks that no VM reads after their origin reader was killed during
/// a read.
#[test]
fn vm_of_the_next_rank_takes_over_from_a_killed_origin_reader() {
    let net = FakeNetwork::start();
    let weights = weights(3);
    let wanted = net.publish("v1", &weights);
    let reader = origin_reader_of(&wanted.manifest.chunks[0], 0);
    {
        let mut faults = net.faults.lock().unwrap();
        faults.origin_reads_hang.insert(reader);
        faults.killed.insert(reader);
    }
    net.want(&wanted);
    net.wait_complete(&wanted, &weights, &[reader]);
    net.faults.lock().unwrap().origin_reads_hang.clear();
}

/// Guards against a receiver that waits for senders whose replies never arrive.
#[test]
fn chunks_of_stalled_senders_are_fetched_elsewhere() {
    let net = FakeNetwork::start();
    let weights = weights(4);
    let wanted = net.publish("v1", &weights);
    net.faults.lock().unwrap().stalled.extend([0, 1]);
    net.want(&wanted);
    net.wait_complete(&wanted, &weights, &[]);
}

/// Guards against chunks that are stored without verification of their digest.
#[test]
fn corrupt_chunks_are_fetched_elsewhere() {
    let net = FakeNetwork::start();
    let weights = weights(5);
    let wanted = net.publish("v1", &weights);
    {
        let mut faults = net.faults.lock().unwrap();
        faults.corrupting.extend([2, 6]);
        faults.origin_corrupt_reads = 5;
    }
    net.want(&wanted);
    net.wait_complete(&wanted, &weights, &[]);
}

/// Guards against a copy that is offered although its root digest does not match, with
/// chunks that all match their digests.
#[test]
fn copy_with_wrong_root_digest_is_never_offered() {
    let net = FakeNetwork::start();
    let weights = weights(6);
    let mut wanted = net.publish("v1", &weights);
    let mut manifest = (*wanted.manifest).clone();
    manifest.root = Digest::of(b"something else");
    wanted.manifest = Arc::new(manifest);
    net.want(&wanted);
    net.wait_for("a failure on every VM", |net| {
        (0..VMS).all(|vm| {
            let progress = net.agent(vm).progress(&wanted.digest);
            progress.is_some_and(|progress| progress.failure.is_some())
        })
    });
    for vm in 0..VMS {
        assert!(net.agent(vm).verified_copy(&wanted.digest).is_none());
    }
}

/// Guards against a transfer of the old version that continues after the change, and
/// against a second origin read of chunks that both versions have in common.
#[test]
fn version_change_in_flight_keeps_chunks_in_common() {
    let net = FakeNetwork::start();
    let old_weights = weights(7);
    let mut new_weights = old_weights.clone();
    for byte in &mut new_weights[CHUNKS / 2 * CHUNK_BYTES..] {
        *byte ^= 0x55;
    }
    let old = net.publish("v1", &old_weights);
    let new = net.publish("v2", &new_weights);
    net.want(&old);
    net.wait_for("every VM to hold the first half", |net| {
        (0..VMS).all(|vm| net.held(vm, &old) > CHUNKS / 2)
    });
    net.want(&new);
    net.wait_complete(&new, &new_weights, &[]);
    for vm in 0..VMS {
        assert!(net.agent(vm).progress(&old.digest).is_none());
    }
    // Chunk 0 is read first, so every region held it when the version changed.
    let reads = net.reads.lock().unwrap();
    for region in 0..REGIONS {
        assert!(!reads.contains_key(&(region, "v2".into(), 0)));
    }
}

/// Guards against a region that does not request chunks from other regions while it
/// cannot reach the origin.
#[test]
fn region_without_origin_is_served_by_other_regions() {
    let net = FakeNetwork::start();
    let weights = weights(8);
    let wanted = net.publish("v1", &weights);
    net.faults.lock().unwrap().origin_unreachable.insert(1);
    net.want(&wanted);
    net.wait_complete(&wanted, &weights, &[]);
    assert_eq!(net.origin_reads_in(1), 0);
}

/// Guards against an isolated region that blocks the others or does not recover.
#[test]
fn isolated_region_completes_after_it_reconnects() {
    let net = FakeNetwork::start();
    let weights = weights(9);
    let wanted = net.publish("v1", &weights);
    net.faults.lock().unwrap().isolated.insert(2);
    net.want(&wanted);
    let isolated_vms: Vec<usize> = (0..VMS).filter(|&vm| region_of(vm) == 2).collect();
    net.wait_complete(&wanted, &weights, &isolated_vms);
    for &vm in &isolated_vms {
        assert_eq!(net.held(vm, &wanted), 0);
    }
    net.faults.lock().unwrap().isolated.clear();
    net.wait_complete(&wanted, &weights, &[]);
}

/// Guards against chunks that stay in memory after the engine holds the copy, and
/// against a released copy that cannot be fetched again.
#[test]
fn released_copy_is_dropped_and_can_be_reloaded() {
    let net = FakeNetwork::start();
    let config = TransferConfig {
        own: peer(0),
        links: LinkSettings::default(),
        settings: TransferSettings {
            seeding_ms: 0,
            ..settings()
        },
    };
    let agent = spawn_with(config, &net.origin(0), net.rpc(0)).unwrap();
    let weights = weights(10);
    let mut wanted = net.publish("v1", &weights);
    wanted.peers = Arc::new(vec![peer(0)]);
    agent.set_wanted(vec![wanted.clone()]);
    net.wait_for("the copy", |_| {
        agent.verified_copy(&wanted.digest).is_some()
    });
    agent.release(&wanted.digest);
    net.wait_for("the chunks to be dropped", |_| {
        agent.verified_copy(&wanted.digest).is_none()
    });
    // Switching requests the copy in this way after a crash of its engine.
    agent.set_wanted(Vec::new());
    agent.set_wanted(vec![wanted.clone()]);
    net.wait_for("the copy after the reload", |_| {
        agent.verified_copy(&wanted.digest).is_some()
    });
}

/// Guards against a copy that late VMs cannot fetch once it is no longer wanted.
#[test]
fn replaced_copy_is_still_sent_to_other_vms() {
    let net = FakeNetwork::start();
    let weights = weights(11);
    let wanted = net.publish("v1", &weights);
    net.agent(0).set_wanted(vec![wanted.clone()]);
    net.wait_for("the copy", |net| {
        net.agent(0).verified_copy(&wanted.digest).is_some()
    });
    net.agent(0).set_wanted(Vec::new());
    net.faults
        .lock()
        .unwrap()
        .origin_unreachable
        .extend(0..REGIONS);
    net.agent(3).set_wanted(vec![wanted.clone()]);
    net.wait_for("the copy", |net| {
        net.agent(3).verified_copy(&wanted.digest).is_some()
    });
}
