//! Starts all processes of a fleet.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

use anyhow::Context;
use serde_json::{Value as Json, json};

use super::addresses::{free_addr, next_ip};
use super::plan::{AgentPlan, FleetPlan, Place, Upstream};
use super::process::{Announcement, Process, ProcessPlan};
use super::settings::{self, PlatformAddrs, SecretFiles};
use super::{CALL_TIMEOUT, EntryAddrs, Fleet, binaries};

/// Number of fleets started by this process; makes their folder names unique.
static FLEET_COUNT: AtomicU32 = AtomicU32::new(0);

struct Launcher {
    fleet: Fleet,
    secrets: SecretFiles,
    /// Platform addresses as seen from each region that has a link, by region.
    linked_platforms: BTreeMap<String, PlatformAddrs>,
    /// Platform addresses for all other regions.
    platform: PlatformAddrs,
}

impl Fleet {
    /// Starts all processes of a plan and uploads the list of VMs to the fleet view.
    ///
    /// # Errors
    ///
    /// Returns an error if a binary cannot be built or a process exits during start-up.
    pub fn start(plan: FleetPlan) -> anyhow::Result<Self> {
        let number = FLEET_COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("masticdock-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir(&folder)
            .with_context(|| format!("cannot create {}", folder.display()))?;
        let mut fleet = Self {
            plan,
            folder,
            processes: BTreeMap::new(),
            controls: BTreeMap::new(),
            entries: Vec::new(),
            fleet_list: Vec::new(),
            changes: 0,
        };
        let platform = fleet.start_platform()?;
        let mut launcher = Launcher {
            secrets: SecretFiles::write(&fleet.folder)?,
            linked_platforms: fleet.start_links(platform)?,
            platform,
            fleet,
        };
        launcher.start_agents()?;
        launcher.start_entries()?;
        launcher.fleet.put_fleet_list()?;
        Ok(launcher.fleet)
    }

    /// Starts a stand-in process and returns the addresses of its `count` services.
    ///
    /// The first of `args` is the subcommand.
    fn start_stand_in(
        &mut self,
        name: &str,
        addr: SocketAddr,
        count: usize,
        args: &[String],
    ) -> anyhow::Result<Vec<Announcement>> {
        let (command, extra_args) = args
            .split_first()
            .context("a stand-in needs a subcommand")?;
        let mut full_args = vec!["--exit-with-stdin".to_owned(), command.clone()];
        full_args.extend(["--addr".to_owned(), addr.to_string()]);
        full_args.extend_from_slice(extra_args);
        let plan = ProcessPlan {
            name: name.to_owned(),
            binary: binaries::path_of("masticdock-standins")?,
            args: full_args,
            announced: count,
            log_level: self.plan.log_level.clone(),
            log: self.folder.join(format!("{name}.log")),
            status_addr: None,
        };
        let (process, announced) = Process::start(plan)?;
        self.processes.insert(name.to_owned(), process);
        if let Some(first) = announced.first() {
            self.controls.insert(name.to_owned(), first.control);
        }
        Ok(announced)
    }

    /// Starts the stand-ins for the platform's services.
    fn start_platform(&mut self) -> anyhow::Result<PlatformAddrs> {
        let rate = self.plan.origin_rate_bytes_per_s;
        let lag = self.plan.fleet_lag_ms;
        let mut start = |name: &str, extra_args: &[String]| -> anyhow::Result<SocketAddr> {
            let addr = free_addr(next_ip())?;
            let mut args = vec![name.to_owned()];
            args.extend_from_slice(extra_args);
            self.start_stand_in(name, addr, 1, &args)?;
            Ok(addr)
        };
        Ok(PlatformAddrs {
            table: start("table", &[])?,
            objects: start("objects", &[])?,
            origin: start("origin", &[format!("--rate-bytes-per-s={rate}")])?,
            fleet: start("fleet", &[format!("--lag-ms={lag}")])?,
        })
    }

    /// Starts the links of the plan; returns the platform addresses behind them by region.
    fn start_links(
        &mut self,
        platform: PlatformAddrs,
    ) -> anyhow::Result<BTreeMap<String, PlatformAddrs>> {
        let mut linked_platforms = BTreeMap::new();
        for link in self.plan.region_links.clone() {
            let ip = next_ip();
            let mut args = vec![
                "link".to_owned(),
                format!("--control={}", free_addr(ip)?),
                format!("--rate-bytes-per-s={}", link.rate_bytes_per_s),
                format!("--latency-ms={}", link.latency_ms),
            ];
            let targets = [
                platform.table,
                platform.objects,
                platform.origin,
                platform.fleet,
            ];
            args.extend(targets.map(|target| format!("--target={target}")));
            let name = format!("link-{}", link.region);
            let addrs = self.start_stand_in(&name, SocketAddr::new(ip, 0), targets.len(), &args)?;
            let linked_addrs = PlatformAddrs {
                table: addrs[0].addr,
                objects: addrs[1].addr,
                origin: addrs[2].addr,
                fleet: addrs[3].addr,
            };
            linked_platforms.insert(link.region, linked_addrs);
        }
        Ok(linked_platforms)
    }

    /// Starts the upstreams and returns their addresses in the order of the agents.
    ///
    /// All engines share one process; each plain service has its own.
    fn start_upstreams(&mut self) -> anyhow::Result<Vec<SocketAddr>> {
        let agents = self.plan.agents.clone();
        let is_engine = |agent: &&AgentPlan| agent.upstream == Upstream::Engine;
        let count = agents.iter().filter(is_engine).count();
        let mut engines = Vec::new();
        if count > 0 {
            let args = ["engines".to_owned(), format!("--count={count}")];
            let addr = SocketAddr::new(next_ip(), 0);
            engines = self.start_stand_in("engines", addr, count, &args)?;
        }
        let mut engines = engines.into_iter();
        let mut addrs = Vec::with_capacity(agents.len());
        for agent in &agents {
            if agent.upstream == Upstream::Engine {
                let engine = engines
                    .next()
                    .context("fewer engines announced than agents need")?;
                let name = format!("engine-{}", agent.id);
                self.controls.insert(name, engine.control);
                self.set_engine(&agent.id, &self.plan.engine)?;
                addrs.push(engine.addr);
                continue;
            }
            let work = format!("--work-ms={}", self.plan.plain_work_ms);
            let addr = free_addr(next_ip())?;
            let name = format!("plain-{}", agent.id);
            self.start_stand_in(&name, addr, 1, &["plain".to_owned(), work])?;
            addrs.push(addr);
        }
        Ok(addrs)
    }

    /// Spawns the process of an entry or agent whose settings are already written.
    fn spawn_daemon(
        &mut self,
        role: &str,
        id: &str,
        status_addr: SocketAddr,
    ) -> anyhow::Result<()> {
        let plan = ProcessPlan {
            name: id.to_owned(),
            binary: binaries::path_of("masticdockd")?,
            args: vec![
                role.to_owned(),
                settings_path(&self.folder, id).display().to_string(),
            ],
            announced: 0,
            log_level: self.plan.log_level.clone(),
            log: self.folder.join(format!("{id}.log")),
            status_addr: Some(status_addr),
        };
        let (process, _) = Process::start(plan)?;
        self.processes.insert(id.to_owned(), process);
        Ok(())
    }

    /// Uploads the list of VMs to the fleet view.
    pub(super) fn put_fleet_list(&self) -> anyhow::Result<()> {
        let url = format!("http://{}/vms", self.control("fleet")?);
        let list = json!({ "vms": self.fleet_list });
        let request = attohttpc::put(url).timeout(CALL_TIMEOUT).json(&list)?;
        let response = request
            .send()
            .context("cannot upload the list of VMs to the fleet view")?;
        response.error_for_status()?;
        Ok(())
    }
}

fn settings_path(folder: &Path, id: &str) -> PathBuf {
    folder.join(format!("{id}.yaml"))
}

impl Launcher {
    /// Returns the addresses at which processes in `place` reach the platform.
    fn platform_of(&self, place: &Place) -> PlatformAddrs {
        let linked_platform = self.linked_platforms.get(&place.region);
        linked_platform.copied().unwrap_or(self.platform)
    }

    /// Writes the settings of a daemon, starts it and adds it to the fleet view's list.
    ///
    /// The fields of the plan override those of `role_settings`; `vm_fields` are
    /// merged into the item of the list.
    fn start_daemon(
        &mut self,
        role: &str,
        id: &str,
        place: &Place,
        addrs: [SocketAddr; 2],
        role_settings: &Json,
        vm_fields: &Json,
    ) -> anyhow::Result<()> {
        let [peer_addr, status_addr] = addrs;
        let platform = self.platform_of(place);
        let plan = &self.fleet.plan;
        let mut content =
            settings::common(id, place, (peer_addr, status_addr), platform, &self.secrets);
        settings::merge(&mut content, role_settings);
        settings::merge(&mut content, &plan.settings);
        let role_overrides = if role == "agent" {
            &plan.agent_settings
        } else {
            &plan.entry_settings
        };
        settings::merge(&mut content, role_overrides);
        content["role"] = json!(role);
        settings::write(&settings_path(&self.fleet.folder, id), &content)?;
        let mut listed_vm = json!({
            "id": id, "role": role, "state": "live",
            "region": place.region, "zone": place.zone, "peer_addr": peer_addr,
        });
        settings::merge(&mut listed_vm, vm_fields);
        self.fleet.fleet_list.push(listed_vm);
        self.fleet.spawn_daemon(role, id, status_addr)
    }

    fn start_agents(&mut self) -> anyhow::Result<()> {
        let upstreams = self.fleet.start_upstreams()?;
        let agents = self.fleet.plan.agents.clone();
        for (agent, upstream) in agents.iter().zip(upstreams) {
            let ip = next_ip();
            let traffic_addr = free_addr(ip)?;
            let engine = agent.upstream == Upstream::Engine;
            // A plain service receives no orders, so there are no fencing numbers to check.
            let fencing = if engine && self.fleet.plan.engine.fence_checked {
                "checked"
            } else {
                "ignored"
            };
            let role_settings = json!({
                "traffic_addr": traffic_addr,
                "weights_addr": free_addr(ip)?,
                "upstream": {
                    "engine": engine,
                    "url": format!("http://{upstream}"),
                    "fencing": fencing,
                    "services": agent.services,
                },
            });
            let vm_fields = json!({ "traffic_addr": traffic_addr, "labels": agent.labels });
            let addrs = [free_addr(ip)?, free_addr(ip)?];
            self.start_daemon(
                "agent",
                &agent.id,
                &agent.place,
                addrs,
                &role_settings,
                &vm_fields,
            )?;
        }
        Ok(())
    }

    fn start_entries(&mut self) -> anyhow::Result<()> {
        let places = self.fleet.plan.entries.clone();
        for (index, place) in places.iter().enumerate() {
            let ip = next_ip();
            let entry = EntryAddrs {
                callers: free_addr(ip)?,
                operators: free_addr(ip)?,
            };
            let role_settings = json!({
                "callers_addr": entry.callers,
                "operators_addr": entry.operators,
                "operator_tokens_file": self.secrets.operator_tokens,
            });
            let addrs = [free_addr(ip)?, free_addr(ip)?];
            let id = format!("entry-{index}");
            self.start_daemon("entry", &id, place, addrs, &role_settings, &json!({}))?;
            self.fleet.entries.push(entry);
        }
        Ok(())
    }
}
