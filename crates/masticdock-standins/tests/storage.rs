//! Tests the object store, origin, fleet view and link stand-ins through their clients.

use masticdock_platform::{
    FleetClient, HttpSettings, ObjectClient, OriginClient, PlatformErrorKind,
};
use masticdock_standins::link::{self, LinkOptions};
use masticdock_standins::origin::{self, OriginStats};
use masticdock_standins::{Faults, fleet, objects};

fn any_addr() -> std::net::SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

/// Guards against objects that are lost or confused with each other, and against a
/// missing object that is reported as an outage.
#[test]
fn objects_are_read_back() {
    let store = objects::spawn(any_addr()).unwrap();
    let client = ObjectClient::new(format!("{}/bucket/", store.url()), HttpSettings::default());
    client.put("manifests/a", b"first").unwrap();
    client.put("manifests/b", b"").unwrap();
    assert_eq!(client.get("manifests/a").unwrap(), b"first");
    assert_eq!(client.get("manifests/b").unwrap(), b"");
    let error = client.get("manifests/c").unwrap_err();
    assert_eq!(error.kind, PlatformErrorKind::NotFound);
}

/// Guards against ranges that are off by one, and against bytes that are not counted.
#[test]
fn origin_reads_ranges_and_counts_bytes() {
    let running = origin::spawn(any_addr(), 0).unwrap();
    let client = OriginClient::new(running.url(), HttpSettings::default());
    attohttpc::put(format!("{}/w", running.url()))
        .bytes(b"0123456789")
        .send()
        .unwrap();
    assert_eq!(client.read("w", 0, 4).unwrap(), b"0123");
    assert_eq!(client.read("w", 9, 1).unwrap(), b"9");
    assert!(client.read("w", 10, 1).is_err());
    assert!(client.read("w", 8, 4).is_err());
    let whole = client.read("generated/100000/a", 0, 100_000).unwrap();
    let part = client.read("generated/100000/a", 70_000, 100).unwrap();
    assert_eq!(part, whole[70_000..70_100]);
    assert_eq!(part, origin::generated("/generated/100000/a", 70_000, 100));
    let stats: OriginStats = attohttpc::get(format!("{}/stats", running.url()))
        .send()
        .unwrap()
        .json()
        .unwrap();
    assert_eq!(stats.objects["/w"], 4 + 1 + 2);
    assert_eq!(stats.read_bytes, 7 + 100_100);
}

/// Guards against injected corruption that fails the read instead of returning wrong
/// bytes, and against a stall that ends before the faults are replaced.
#[test]
fn origin_injects_corruption_and_stalls() {
    let running = origin::spawn(any_addr(), 0).unwrap();
    let http = HttpSettings { timeout_ms: 200 };
    let client = OriginClient::new(running.url(), http);
    let intact = origin::generated("/generated/1000/a", 0, 1000);
    running.faults.set(Faults {
        corrupt: 1.0,
        ..Faults::default()
    });
    let corrupt = client.read("generated/1000/a", 0, 1000).unwrap();
    let differing = corrupt.iter().zip(&intact).filter(|(a, b)| a != b).count();
    assert_eq!(differing, 1);
    running.faults.set(Faults {
        stall: 1.0,
        ..Faults::default()
    });
    assert!(client.read("generated/1000/a", 0, 1000).is_err());
    running.faults.set(Faults::default());
    assert_eq!(client.read("generated/1000/a", 0, 1000).unwrap(), intact);
}

/// Guards against an unchanged list that is sent a second time.
#[test]
fn fleet_list_is_sent_once_per_change() {
    let running = fleet::spawn(any_addr(), 0).unwrap();
    let url = format!("{}/vms", running.url());
    let mut client = FleetClient::new(&url, HttpSettings::default());
    assert_eq!(client.read().unwrap().unwrap().vms, []);
    assert_eq!(client.read().unwrap(), None);
    let list = r#"{"vms":[{"id":"vm-1","role":"agent","state":"leaving","region":"r",
        "zone":"r-a","peer_addr":"127.0.0.1:1","labels":{"fleet":"x"}}]}"#;
    attohttpc::put(&url).text(list).send().unwrap();
    assert_eq!(client.read().unwrap().unwrap().vms[0].id, "vm-1");
    assert_eq!(client.read().unwrap(), None);
}

/// Guards against a fleet view that is no longer followed because of one odd entry, and against the
/// loss of a known VM whose entry turns odd.
#[test]
fn one_odd_entry_does_not_hide_the_rest_of_the_fleet_view() {
    let running = fleet::spawn(any_addr(), 0).unwrap();
    let mut client = FleetClient::new(running.url(), HttpSettings::default());
    let vm = |id: &str, port: &str, labels: &str| {
        format!(
            r#"{{"id":"{id}","role":"agent","state":"live","region":"r","zone":"r-a",
            "peer_addr":"127.0.0.1:{port}","labels":{labels}}}"#
        )
    };
    let mut read = |entries: &[String]| {
        let list = format!(r#"{{"vms":[{}]}}"#, entries.join(","));
        attohttpc::put(running.url()).text(list).send().unwrap();
        let vms = client.read().unwrap().unwrap().vms;
        vms.into_iter().map(|vm| vm.id).collect::<Vec<_>>()
    };
    let good = [vm("vm-1", "1", "{}"), vm("vm-2", "2", "{}")];
    assert_eq!(read(&good), ["vm-1", "vm-2"]);
    let nested = "[".repeat(5_000) + &"]".repeat(5_000);
    let odd = [
        vm("vm-1", "70000", "{}"),
        vm("vm-1", "1", &nested),
        vm("vm-1", "1", r#"{"fleet": 1e999}"#),
        r#"{"id":"vm-1"}"#.to_owned(),
    ];
    for entry in odd {
        let list = [entry.clone(), good[1].clone(), vm("vm-3", "3", "{}")];
        assert_eq!(read(&list), ["vm-1", "vm-2", "vm-3"], "{entry:.80}");
        assert_eq!(read(&[nested.clone(), good[1].clone()]), ["vm-2"]);
        assert_eq!(read(&good), ["vm-1", "vm-2"]);
    }
}

/// Guards against a new list that is visible before the lag has passed.
#[test]
fn fleet_list_lags() {
    let running = fleet::spawn(any_addr(), 3_600_000).unwrap();
    let mut client = FleetClient::new(running.url(), HttpSettings::default());
    client.read().unwrap();
    attohttpc::put(running.url())
        .text(r#"{"vms":[ ]}"#)
        .send()
        .unwrap();
    assert_eq!(client.read().unwrap(), None);
}

/// Guards against a relay that loses bytes, and against a cut link that lets requests
/// through.
#[test]
fn link_relays_until_it_is_cut() {
    let running = origin::spawn(any_addr(), 0).unwrap();
    let (link, listens) = link::spawn(&LinkOptions {
        listen: any_addr(),
        targets: vec![running.addr],
        control: any_addr(),
        rate_bytes_per_s: 10_000_000,
        latency_ms: 1,
    })
    .unwrap();
    let http = HttpSettings { timeout_ms: 1_000 };
    let client = OriginClient::new(format!("http://{}", listens[0]), http);
    let read = || client.read("generated/300000/a", 0, 300_000);
    let whole = origin::generated("/generated/300000/a", 0, 300_000);
    assert_eq!(read().unwrap(), whole);
    link.faults.set(Faults {
        corrupt: 1.0,
        ..Faults::default()
    });
    assert_ne!(read().ok(), Some(whole.clone()));
    for fault in [
        Faults {
            unavailable: 1.0,
            ..Faults::default()
        },
        Faults {
            stall: 1.0,
            ..Faults::default()
        },
    ] {
        link.faults.set(fault);
        assert!(read().is_err());
    }
    link.faults.set(Faults::default());
    assert_eq!(read().unwrap(), whole);
}
