//! Tests of matching requests against the configuration.

use masticdock_core::serving::{
    AllowedRegions, Backend, Configuration, RequestKind, RequestLimits, Route, RouteMatch,
    Workspace,
};

fn route(name: &str, host: &str, prefix: &str, anonymous: bool) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: RequestKind::Idempotent,
        backends: vec![Backend {
            service: "orders".parse().unwrap(),
            weight: 1,
        }],
        timeout_ms: 800,
        objective_ms: 300,
        pause_objective_ms: None,
        attempts_max: 2,
        priority: 1,
        anonymous,
        allowed_regions: AllowedRegions::Any,
    }
}

fn configuration() -> Configuration {
    let routes = vec![
        route("short", "a.example", "/x/", false),
        route("long", "a.example", "/x/y/", false),
        route("open", "b.example", "/", true),
    ];
    let workspace = Workspace {
        id: "alpenruh".parse().unwrap(),
        priority: Some(0),
        allowed_regions: AllowedRegions::Any,
    };
    let keys = vec![("key-1".into(), workspace)];
    Configuration::new(7, routes, Vec::new(), Some(keys), RequestLimits::default())
}

fn match_request(host: &str, path: &str, key: Option<&str>) -> String {
    match configuration().find(host, path, key) {
        RouteMatch::Route { route, workspace } => {
            let workspace = workspace.map_or("-", |workspace| workspace.id.as_str());
            format!("{} {workspace}", route.name)
        }
        RouteMatch::NoRoute => "no route".to_owned(),
        RouteMatch::UnknownKey => "unknown key".to_owned(),
        RouteMatch::UnreadableRoute => "unreadable route".to_owned(),
        RouteMatch::UnreadableWorkspace => "unreadable workspace".to_owned(),
    }
}

/// Guards against a route with a shorter prefix that shadows one with a longer prefix.
#[test]
fn the_longest_matching_prefix_of_the_host_wins() {
    assert_eq!(
        match_request("a.example", "/x/y/z", Some("key-1")),
        "long alpenruh"
    );
    assert_eq!(
        match_request("a.example", "/x/z", Some("key-1")),
        "short alpenruh"
    );
    assert_eq!(
        match_request("A.Example:8080", "/x/z", Some("key-1")),
        "short alpenruh"
    );
    assert_eq!(match_request("a.example", "/x", Some("key-1")), "no route");
    assert_eq!(
        match_request("c.example", "/x/y/", Some("key-1")),
        "no route"
    );
}

/// Guards against requests that are accepted without an API key, or rejected on an
/// anonymous route.
#[test]
fn api_keys_are_required_except_on_anonymous_routes() {
    assert_eq!(match_request("a.example", "/x/", None), "unknown key");
    assert_eq!(
        match_request("a.example", "/x/", Some("key-2")),
        "unknown key"
    );
    assert_eq!(match_request("b.example", "/any", None), "open -");
    assert_eq!(match_request("b.example", "/any", Some("key-2")), "open -");
}

/// Guards against a split that sends all requests, or none, to one backend.
#[test]
fn backends_share_requests_by_weight() {
    let mut split = route("split", "a.example", "/", true);
    split.backends = vec![
        Backend {
            service: "new".parse().unwrap(),
            weight: 10,
        },
        Backend {
            service: "old".parse().unwrap(),
            weight: 90,
        },
    ];
    let mut new = 0;
    for draw in 0..1_000 {
        if split.choose_service(f64::from(draw) / 1_000.0).as_str() == "new" {
            new += 1;
        }
    }
    assert_eq!(new, 100);
    assert_eq!(split.choose_service(1.0).as_str(), "old");
}

/// Guards against retries of streams that cannot be resumed.
#[test]
fn only_idempotent_requests_and_resumable_streams_are_safe_to_retry() {
    assert!(RequestKind::Idempotent.is_safe_to_retry());
    assert!(RequestKind::Stream { resumable: true }.is_safe_to_retry());
    assert!(!RequestKind::Stream { resumable: false }.is_safe_to_retry());
    assert!(!RequestKind::NonIdempotent.is_safe_to_retry());
}

/// Guards against admission by priority where all routes of a service have the same, whatever
/// the priorities of the workspaces.
#[test]
fn a_service_is_prioritized_only_if_its_routes_differ_in_priority() {
    let is_prioritized = |priorities: [u8; 2]| {
        let routes = priorities.map(|priority| Route {
            priority,
            ..route("drafts", "a.example", "/", false)
        });
        let urgent = Workspace {
            id: "alpenruh".parse().unwrap(),
            priority: Some(0),
            allowed_regions: AllowedRegions::Any,
        };
        let keys = Some(vec![("key-1".into(), urgent)]);
        let configuration =
            Configuration::new(7, routes.into(), Vec::new(), keys, RequestLimits::default());
        configuration.is_prioritized(&"orders".parse().unwrap())
    };
    assert!(!is_prioritized([1, 1]));
    assert!(is_prioritized([0, 1]));
}
