//! List of all settings fields: the source of the range checks and of `docs/SETTINGS.md`.

use std::collections::BTreeMap;

use serde_json::Value as Json;

use super::Settings;

/// One field of the settings.
pub(super) struct Field {
    /// Dotted path of the field.
    pub(super) path: &'static str,
    /// Smallest and largest accepted value of a number; `None` for other types.
    pub(super) range: Option<(u64, u64)>,
    /// Description of the field.
    #[cfg_attr(
        not(test),
        expect(dead_code, reason = "a test renders docs/SETTINGS.md from it")
    )]
    pub(super) meaning: &'static str,
}

const fn field(path: &'static str, meaning: &'static str) -> Field {
    Field {
        path,
        range: None,
        meaning,
    }
}

const fn number(path: &'static str, min: u64, max: u64, meaning: &'static str) -> Field {
    Field {
        path,
        range: Some((min, max)),
        meaning,
    }
}

/// All fields of both roles, in the order of the documentation.
#[rustfmt::skip]
pub(super) const FIELDS: &[Field] = &[
    field("role", "`entry` or `agent`"),
    field("node.id", "id of the VM of an agent, id of an entry"),
    field("node.region", "region"),
    field("node.zone", "availability zone"),
    field("node.peer_addr", "address for gossip (UDP) and RPC (TCP); others must reach it"),
    field("node.status_addr", "address of `/healthz`, `/readyz` and `/metrics`"),
    field("node.seed_addrs", "peer addresses of members to ask when the fleet view is down"),
    field("callers_addr", "address for callers, behind the platform's load balancer"),
    field("operators_addr", "address for operators"),
    field("operator_tokens_file", "file with one `operator:token` pair a line, closed to other users"),
    field("traffic_addr", "address on which entries send requests"),
    field("weights_addr", "loopback address from which the engine reads weights"),
    field("upstream.engine", "true for a model engine, false for a plain service"),
    field("upstream.url", "base URL of the upstream"),
    field("upstream.fencing", "`checked` when the engine refuses orders with an old fencing number, else `ignored`"),
    field("upstream.services", "services that the upstream answers for"),
    field("platform.table_url", "base URL of the table service"),
    field("platform.table_name", "name of the table"),
    field("platform.object_store_url", "URL of the bucket in the object store"),
    field("platform.origin_url", "base URL of the weight origin"),
    field("platform.fleet_view_url", "URL of the fleet view"),
    number("platform.timeout_ms", 10, 60_000, "time-out of one call"),
    number("platform.head_poll_interval_ms", 50, 2_000, "time between two reads of the table's head by a reader"),
    number("platform.fleet_poll_interval_ms", 50, 60_000, "time between two reads of the fleet view by a reader"),
    field("security.peer_key_file", "file with the key that all masticdock processes share, closed to other users"),
    field("links.vm_rate_bytes_per_s", "rate of the VM's own link in each direction; 0 means no limit"),
    field("links.weights_share", "share of the VM's link that weights may use"),
    field("links.inter_region_rate_bytes_per_s", "rate of the link between two regions; 0 means no limit"),
    field("links.inter_region_share", "share of the link between regions that weights may use"),
    number("transfer.neighbours", 1, 64, "neighbours whose have-bitmaps an agent follows"),
    number("transfer.upload_slots", 1, 64, "chunks sent at once"),
    number("transfer.download_slots", 1, 64, "chunks requested at once"),
    number("transfer.announce_interval_ms", 20, 10_000, "time between two announcements"),
    number("transfer.stall_timeout_ms", 50, 600_000, "time without a whole chunk after which a second sender is asked"),
    number("transfer.seeding_ms", 0, 86_400_000, "time for which a complete copy is still sent to others"),
    number("slot_lease_ms", 500, 600_000, "time that a switch slot is held without renewal"),
    number("load_timeout_ms", 500, 3_600_000, "time that an engine has to load a version"),
    number("gossip.push_interval_ms", 20, 2_000, "time between two pushes of fresh updates"),
    number("gossip.push_fanout", 1, 10, "members that receive each push"),
    number("gossip.probe_interval_ms", 50, 10_000, "time between two probes"),
    number("gossip.probe_timeout_ms", 10, 10_000, "time that a probed member has to answer; below the interval"),
    number("gossip.indirect_probes", 0, 10, "members asked to probe on this member's behalf"),
    number("gossip.suspicion_ms", 100, 60_000, "time that a suspect has to refute; not below the probe interval"),
    number("requests.subset_size", 2, 200, "upstreams that one entry sends to, per service"),
    number("requests.retry_budget_percent", 0, 100, "retries allowed for each 100 requests"),
    number("requests.attempts_max", 1, 10, "attempts for one request, the first one included"),
    number("requests.load_bound_percent", 101, 1_000, "load of an upstream over the mean above which affinity gives way"),
    number("requests.per_upstream_in_progress_max", 1, 10_000, "requests in progress that one upstream takes from this entry"),
    number("requests.crash_limit", 1, 10, "deaths of upstreams after which a request is refused"),
    number("requests.crash_memory_ms", 1_000, 86_400_000, "time for which such a request is refused"),
    number("requests.stall_timeout_ms", 50, 600_000, "time without a byte of an agent, which sends heartbeats, after which an attempt is given up for a retry"),
    number("http.body_bytes_max", 1_024, 64 << 20, "largest request body"),
    number("http.header_bytes_max", 1_024, 1 << 20, "largest total of the request headers"),
    number("http.connections_max", 1, 4_096, "requests handled at once, each on its own thread"),
];

/// Returns the unit given by the suffix of a field name.
pub(super) fn unit_of(path: &str) -> Option<&'static str> {
    let units = [
        ("bytes_per_s", "bytes per second"),
        ("_ms", "milliseconds"),
        ("_bytes_max", "bytes"),
        ("_percent", "percent"),
        ("_share", "parts of 1"),
    ];
    let found = units.iter().find(|(suffix, _)| path.ends_with(suffix))?;
    Some(found.1)
}

/// Returns the values of all fields, keyed by dotted path; sections themselves are omitted.
pub(super) fn flatten(settings: &Settings) -> BTreeMap<String, Json> {
    // Serialising plain fields to an in-memory value cannot fail.
    let json = match settings {
        Settings::Entry(entry) => serde_json::to_value(entry),
        Settings::Agent(agent) => serde_json::to_value(agent),
    };
    let mut values = BTreeMap::new();
    insert_fields("", json.unwrap_or_default(), &mut values);
    values
}

fn insert_fields(prefix: &str, json: Json, values: &mut BTreeMap<String, Json>) {
    let Json::Object(fields) = json else {
        values.insert(prefix.to_owned(), json);
        return;
    };
    for (name, value) in fields {
        let path = if prefix.is_empty() {
            name
        } else {
            format!("{prefix}.{name}")
        };
        insert_fields(&path, value, values);
    }
}
