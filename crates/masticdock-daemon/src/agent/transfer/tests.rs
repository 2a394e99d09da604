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

/// Polls before a wait is given up; only a hung transfer comes near.
const POLLS_MAX: usize = 6_000;
const POLL: Duration = Duration::from_millis(10);

#[derive(Default)]
struct Faults {
    /// VMs that answer nothing, ask nothing and read nothing.
    dead: BTreeSet<usize>,
    /// VMs whose answers with chunks never arrive while the connection stays open.
    stalled: BTreeSet<usize>,
    /// VMs that send chunks with a flipped bit.
    corrupting: BTreeSet<usize>,
    /// Regions that reach neither the origin nor other regions.
    cut: BTreeSet<usize>,
    /// Regions that do not reach the origin.
    without_origin: BTreeSet<usize>,
    /// Origin reads by VM that never return.
    origin_hangs: BTreeSet<usize>,
    /// Number of origin reads that are still to come back corrupted.
    origin_corrupts: usize,
}

/// Agents of one process that call each other through a fake network.
#[derive(Default)]
struct Net {
    agents: Mutex<Vec<TransferHandle>>,
    faults: Mutex<Faults>,
    objects: Mutex<BTreeMap<CompactString, Arc<Vec<u8>>>>,
    /// Origin reads that were completed, by (region, object, offset).
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

impl Net {
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
                message: "fault of the test".to_owned(),
            };
            let faults = net.faults.lock().unwrap();
            let regions = [region_of(from), region_of(to)];
            let cut = regions[0] != regions[1] && regions.iter().any(|r| faults.cut.contains(r));
            if cut || faults.dead.contains(&to) || faults.dead.contains(&from) {
                on_reply(Err(error(RpcErrorKind::Unreachable)));
                return;
            }
            let is_chunk = matches!(request, PeerRequest::Chunk { .. });
            if is_chunk && faults.stalled.contains(&to) {
                let timed_out = error(RpcErrorKind::TimedOut);
                thread::spawn(move || {
                    thread::sleep(timeout);
                    on_reply(Err(timed_out));
                });
                return;
            }
            let corrupts = faults.corrupting.contains(&to);
            drop(faults);
            let agent = net.agents.lock().unwrap().get(to).cloned();
            let Some(agent) = agent else {
                on_reply(Err(error(RpcErrorKind::Unreachable)));
                return;
            };
            let respond = Box::new(move |reply| match reply {
                PeerReply::Chunk(data) if corrupts => {
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
            let net = net.upgrade().ok_or("the test is over")?;
            net.read_origin(vm, range)
        })
    }

    fn read_origin(&self, vm: usize, range: &OriginRange) -> Result<Vec<u8>, String> {
        let hangs = |faults: &Faults| faults.origin_hangs.contains(&vm);
        for _ in 0..POLLS_MAX {
            if !hangs(&self.faults.lock().unwrap()) {
                break;
            }
            thread::sleep(POLL);
        }
        let mut faults = self.faults.lock().unwrap();
        let region = region_of(vm);
        let apart = faults.cut.contains(&region) || faults.without_origin.contains(&region);
        if apart || faults.dead.contains(&vm) {
            return Err("the origin cannot be reached".to_owned());
        }
        let object = self.objects.lock().unwrap()[&range.object].clone();
        let start = usize::try_from(range.offset).unwrap();
        let end = start + usize::try_from(range.length).unwrap();
        let mut data = object[start..end].to_vec();
        if faults.origin_corrupts > 0 {
            faults.origin_corrupts -= 1;
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

    fn wait(&self, what: &str, condition: impl Fn(&Self) -> bool) {
        for _ in 0..POLLS_MAX {
            if condition(self) {
                return;
            }
            thread::sleep(POLL);
        }
        panic!("gave up waiting: {what}");
    }

    /// Waits until all VMs but `except` hold exactly these weights.
    fn wait_complete(&self, wanted: &WantedCopy, weights: &[u8], except: &[usize]) {
        for vm in 0..VMS {
            if except.contains(&vm) {
                continue;
            }
            self.wait(&format!("vm-{vm} to complete"), |net| {
                net.agent(vm).verified_copy(&wanted.digest).is_some()
            });
            let copy = self.agent(vm).verified_copy(&wanted.digest).unwrap();
            assert!(copy.chunks.concat() == weights, "vm-{vm} holds other bytes");
        }
    }

    fn reads_of(&self, region: usize) -> usize {
        let reads = self.reads.lock().unwrap();
        let of_region = reads.iter().filter(|((at, ..), _)| *at == region);
        of_region.map(|(_, count)| count).sum()
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

/// The VM of a region that reads `chunk` from the origin.
fn reader_of(chunk: &Digest, region: usize) -> usize {
    let vms: Vec<usize> = (0..VMS).filter(|&vm| region_of(vm) == region).collect();
    let ids: Vec<CompactString> = vms.iter().map(|&vm| peer(vm).id).collect();
    let ranked = rendezvous::rank(chunk.as_bytes(), &ids, CompactString::as_str);
    vms[ids.iter().position(|id| id == ranked[0]).unwrap()]
}

/// Guards against VMs that each read the whole copy from the origin.
#[test]
fn each_region_reads_one_copy() {
    let net = Net::start();
    let weights = weights(1);
    let wanted = net.publish("v1", &weights);
    net.want(&wanted);
    net.wait_complete(&wanted, &weights, &[]);
    for region in 0..REGIONS {
        let reads = net.reads_of(region);
        assert!(reads >= CHUNKS, "region {region}: {reads} reads");
        // A busy machine may delay a reader beyond its deadline, so a few
        // takeovers are let through; without ranks there are four times as many.
        assert!(reads <= CHUNKS * 3 / 2, "region {region}: {reads} reads");
    }
}

/// Guards against a transfer that waits for a VM which was killed, although the
/// membership still lists it.
#[test]
fn killed_vm_does_not_hold_up_the_others() {
    let net = Net::start();
    let weights = weights(2);
    let wanted = net.publish("v1", &weights);
    net.want(&wanted);
    net.wait("vm-4 to hold a part", |net| net.held(4, &wanted) > 2);
    net.faults.lock().unwrap().dead.insert(4);
    net.wait_complete(&wanted, &weights, &[4]);
}

/// Guards against chunks that nobody reads after their origin reader died in the
/// middle of a read.
#[test]
fn next_rank_takes_over_from_a_killed_origin_reader() {
    let net = Net::start();
    let weights = weights(3);
    let wanted = net.publish("v1", &weights);
    let reader = reader_of(&wanted.manifest.chunks[0], 0);
    {
        let mut faults = net.faults.lock().unwrap();
        faults.origin_hangs.insert(reader);
        faults.dead.insert(reader);
    }
    net.want(&wanted);
    net.wait_complete(&wanted, &weights, &[reader]);
    net.faults.lock().unwrap().origin_hangs.clear();
}

/// Guards against a receiver that waits for a sender whose link carries nothing.
#[test]
fn stalled_link_is_bypassed() {
    let net = Net::start();
    let weights = weights(4);
    let wanted = net.publish("v1", &weights);
    net.faults.lock().unwrap().stalled.extend([0, 1]);
    net.want(&wanted);
    net.wait_complete(&wanted, &weights, &[]);
}

/// Guards against bytes that are kept without a check of their digest.
#[test]
fn corrupt_chunks_are_fetched_elsewhere() {
    let net = Net::start();
    let weights = weights(5);
    let wanted = net.publish("v1", &weights);
    {
        let mut faults = net.faults.lock().unwrap();
        faults.corrupting.extend([2, 6]);
        faults.origin_corrupts = 5;
    }
    net.want(&wanted);
    net.wait_complete(&wanted, &weights, &[]);
}

/// Guards against a manifest whose chunks match but whose whole does not.
#[test]
fn wrong_root_is_never_offered() {
    let net = Net::start();
    let weights = weights(6);
    let mut wanted = net.publish("v1", &weights);
    let mut manifest = (*wanted.manifest).clone();
    manifest.root = Digest::of(b"something else");
    wanted.manifest = Arc::new(manifest);
    net.want(&wanted);
    net.wait("a failure on every VM", |net| {
        (0..VMS).all(|vm| {
            let progress = net.agent(vm).progress(&wanted.digest);
            progress.is_some_and(|progress| progress.failure.is_some())
        })
    });
    for vm in 0..VMS {
        assert!(net.agent(vm).verified_copy(&wanted.digest).is_none());
    }
}

/// Guards against a transfer of the old version that goes on, and against
/// chunks in common that are read from the origin again.
#[test]
fn version_change_in_flight_keeps_chunks_in_common() {
    let net = Net::start();
    let old_weights = weights(7);
    let mut new_weights = old_weights.clone();
    for byte in &mut new_weights[CHUNKS / 2 * CHUNK_BYTES..] {
        *byte ^= 0x55;
    }
    let old = net.publish("v1", &old_weights);
    let new = net.publish("v2", &new_weights);
    net.want(&old);
    net.wait("every VM to hold the first half", |net| {
        (0..VMS).all(|vm| net.held(vm, &old) > CHUNKS / 2)
    });
    net.want(&new);
    net.wait_complete(&new, &new_weights, &[]);
    for vm in 0..VMS {
        assert!(net.agent(vm).progress(&old.digest).is_none());
    }
    // Chunk 0 is the first one read, so every region held it when it changed.
    let reads = net.reads.lock().unwrap();
    for region in 0..REGIONS {
        assert!(!reads.contains_key(&(region, "v2".into(), 0)));
    }
}

/// Guards against a region that cannot use the chunks of other regions while
/// the origin delivers nothing to it.
#[test]
fn region_without_origin_is_served_by_others() {
    let net = Net::start();
    let weights = weights(8);
    let wanted = net.publish("v1", &weights);
    net.faults.lock().unwrap().without_origin.insert(1);
    net.want(&wanted);
    net.wait_complete(&wanted, &weights, &[]);
    assert_eq!(net.reads_of(1), 0);
}

/// Guards against a cut region that stops the others or never recovers.
#[test]
fn cut_region_completes_after_it_returns() {
    let net = Net::start();
    let weights = weights(9);
    let wanted = net.publish("v1", &weights);
    net.faults.lock().unwrap().cut.insert(2);
    net.want(&wanted);
    let in_cut: Vec<usize> = (0..VMS).filter(|&vm| region_of(vm) == 2).collect();
    net.wait_complete(&wanted, &weights, &in_cut);
    for &vm in &in_cut {
        assert_eq!(net.held(vm, &wanted), 0);
    }
    net.faults.lock().unwrap().cut.clear();
    net.wait_complete(&wanted, &weights, &[]);
}

/// Guards against chunks that stay in memory after the engine took them over,
/// and against a copy that cannot be had again.
#[test]
fn released_copy_is_dropped_and_can_be_reloaded() {
    let net = Net::start();
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
    net.wait("the copy", |_| {
        agent.verified_copy(&wanted.digest).is_some()
    });
    agent.release(&wanted.digest);
    net.wait("the drop", |_| {
        agent.verified_copy(&wanted.digest).is_none()
    });
    // The way switching asks again after a crash of its engine.
    agent.set_wanted(Vec::new());
    agent.set_wanted(vec![wanted.clone()]);
    net.wait("the copy again", |_| {
        agent.verified_copy(&wanted.digest).is_some()
    });
}

/// Guards against a copy that is refused to late VMs as soon as it is replaced.
#[test]
fn replaced_copy_is_seeded() {
    let net = Net::start();
    let weights = weights(11);
    let wanted = net.publish("v1", &weights);
    net.agent(0).set_wanted(vec![wanted.clone()]);
    net.wait("the copy", |net| {
        net.agent(0).verified_copy(&wanted.digest).is_some()
    });
    net.agent(0).set_wanted(Vec::new());
    net.faults.lock().unwrap().without_origin.extend(0..REGIONS);
    net.agent(3).set_wanted(vec![wanted.clone()]);
    net.wait("the copy", |net| {
        net.agent(3).verified_copy(&wanted.digest).is_some()
    });
}
