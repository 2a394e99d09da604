//! A configuration gives a tenant a name of two words.

use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::caller::{CallerRequest, call};
use crate::harness::{
    CALLERS_PORT, CaseResult, Network, Record, STORE_PORT, TemporaryFolder, UpstreamProcess,
    has_trouble, start_entry, unix_ms, wait_until_ready,
};
use crate::store::Store;

const ENTRY_HOST: u8 = 2;
const SECOND_ENTRY_HOST: u8 = 3;
const UPSTREAM_PORT: u16 = 8_080;
/// Key that stays, key of the renamed tenant, and key that the second configuration drops.
const KEYS: [&str; 3] = [
    "jnbanfqasnmgkcuyj8pj",
    "keep4pxd8ksu2mfo0qzr",
    "drop7tuw1lgn5hcy3bae",
];
const ROUNDS: usize = 5;

pub fn run(folder: &Path) -> CaseResult {
    let record = Record::create(folder)?;
    let temporary = TemporaryFolder::create()?;
    let network = Network::find()?;
    let store = Store::start(network.address(1, STORE_PORT))?;
    store.put(
        "op",
        "config",
        &configuration(3, "alpenruh", "orders", true),
    );
    let mut upstreams = Vec::new();
    for (index, service) in ["orders", "bookings"].into_iter().enumerate() {
        let address = network.address(21 + index as u8, UPSTREAM_PORT);
        let upstream = UpstreamProcess::start("plain", address, &format!("i-{index}"), &record)?;
        store.put(
            "servers",
            &upstream.id,
            &format!(
                r#"{{"service":"{service}","address":"{address}","zone":"wien-a","version":"v1","slot-count":6,"state":"ready","cold-left-ms":0,"seq":1,"born":{}}}"#,
                upstream.born
            ),
        );
        upstreams.push(upstream);
    }
    let _entry = start_entry(network, ENTRY_HOST, temporary.path())?;
    wait_until_ready(network, ENTRY_HOST)?;
    thread::sleep(Duration::from_secs(4));
    let send = |key: &str, number: usize| {
        let id = format!("{:016x}", unix_ms() * 64 + number as u64);
        let answer = call(
            network.address(ENTRY_HOST, CALLERS_PORT),
            &CallerRequest {
                method: "GET",
                path: "/look/2f",
                id: &id,
                deadline_ms: 1_500,
                headers: &format!("Api-Key: {key}\r\n"),
                body: b"",
            },
        );
        let status = answer.map_or(0, |answer| answer.status);
        // The upstream's line may arrive after the answer.
        thread::sleep(Duration::from_millis(300));
        let ran_at = upstreams
            .iter()
            .find(|upstream| upstream.has_run(&id))
            .map_or("-", |upstream| upstream.id.as_str());
        record.note(&format!(
            "{id} with key {key} got {status}, ran at {ran_at}"
        ));
        (status, ran_at.to_owned())
    };
    for (number, key) in KEYS.into_iter().enumerate() {
        if send(key, number) != (200, "i-0".to_owned()) {
            return Err("the first configuration is not in force".into());
        }
    }
    let name = if has_trouble() {
        "Alpenruh Hotels"
    } else {
        "alpenruh"
    };
    store.put("op", "config", &configuration(4, name, "bookings", false));
    record.note(&format!(
        "version 4 is confirmed: it names a tenant `{name}`, moves the route from i-0 to i-1 and drops the key {}",
        KEYS[2]
    ));
    let mut broken = 0;
    for round in 0..ROUNDS {
        thread::sleep(Duration::from_secs(3));
        for (number, key) in KEYS.into_iter().enumerate() {
            let (status, ran_at) = send(key, number);
            let is_dropped = key == KEYS[2];
            let rule = match (status, ran_at.as_str()) {
                (200, _) if is_dropped => "runs with a dropped key",
                (200, "i-0") => "is run by the old service",
                (401, _) if !is_dropped => "is refused though its key is there",
                _ => continue,
            };
            broken += 1;
            record.note(&format!("CONFIG: a request, round {round}, {rule}"));
        }
    }
    // Not judged: whether an entry that starts now takes the configuration.
    let _second = start_entry(network, SECOND_ENTRY_HOST, temporary.path())?;
    let is_ready = wait_until_ready(network, SECOND_ENTRY_HOST).is_ok();
    record.note(&format!(
        "an entry that starts now is ready within 10 s: {is_ready}"
    ));
    record.note(&format!(
        "{broken} of {} requests break the rule",
        ROUNDS * KEYS.len()
    ));
    Ok(broken)
}

fn configuration(version: u32, tenant: &str, service: &str, has_third_key: bool) -> String {
    let [first, second, third] = KEYS;
    let third = if has_third_key {
        format!(",\"{third}\"")
    } else {
        String::new()
    };
    format!(
        r#"{{"version":{version},"routes":[
        {{"name":"r-look","host":"jepu9.example","prefix":"/look/","kind":"idempotent","timeout-ms":1500,"goal-ms":300,"priority":2,"service":"{service}","attempts":2,"anonymous":false,"sticky":false,"resumable":false}}],
        "services":[{{"name":"orders","health-path":"/health","max-conns":96,"protocol":"h1","tls":false}},
        {{"name":"bookings","health-path":"/health","max-conns":96,"protocol":"h1","tls":false}}],
        "limits":{{"header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},
        "tenants":[{{"name":"bozi300","api-keys":["{first}"{third}]}},{{"name":"{tenant}","api-keys":["{second}"]}}]}}"#
    )
}
