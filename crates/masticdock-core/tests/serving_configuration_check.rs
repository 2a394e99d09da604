//! Tests of the check of a configuration before it is sent.

use masticdock_core::serving::{
    DeclaredConfiguration, DeclaredLimits, DeclaredRoute, DeclaredWorkspace, Severity,
    check_configuration, compare_configurations,
};

fn route(name: &str) -> DeclaredRoute {
    DeclaredRoute {
        name: name.into(),
        host: "a.example".into(),
        prefix: format!("/{name}/").into(),
        backends: vec![("drafts".into(), 1.0)],
        timeout_ms: 6_000.0,
        objective_ms: Some(400.0),
        attempts_max: Some(2),
        ..DeclaredRoute::default()
    }
}

fn valid() -> DeclaredConfiguration {
    let workspace = DeclaredWorkspace {
        name: "alpenruh".into(),
        keys: vec!["secret-key-1".into()],
        ..DeclaredWorkspace::default()
    };
    DeclaredConfiguration {
        version: 7,
        routes: vec![route("summaries"), route("notes")],
        services: vec!["drafts".into()],
        workspaces: Some(vec![workspace]),
        limits: Some(DeclaredLimits {
            head_bytes_max: 16_384,
            body_bytes_max: 4 << 20,
            head_timeout_ms: 3_000.0,
            idle_timeout_ms: 15_000.0,
        }),
    }
}

/// Checks the valid configuration after a change; returns the only finding.
fn finding(change: impl FnOnce(&mut DeclaredConfiguration)) -> String {
    let mut configuration = valid();
    change(&mut configuration);
    let findings = check_configuration(&configuration);
    assert_eq!(findings.len(), 1, "{findings:?}");
    findings[0].to_string()
}

#[test]
fn a_valid_configuration_has_no_findings_and_no_differences() {
    assert_eq!(check_configuration(&valid()), []);
    let mut next = valid();
    next.version = 8;
    assert!(compare_configurations(&valid(), &next).is_empty());
}

/// Guards against a workspace whose requests are all rejected for its name, and against a free
/// name that is taken for a fault.
#[test]
fn names_that_requests_cannot_carry_are_found() {
    for name in ["", " padded", "two\nlines"] {
        let found = finding(|configuration| {
            configuration.workspaces.as_mut().unwrap()[0].name = name.into();
        });
        assert!(found.starts_with("error: requests cannot carry"), "{found}");
    }
    let mut free = valid();
    free.workspaces.as_mut().unwrap()[0].name = "Alpenruh Hotels & Söhne".into();
    assert_eq!(check_configuration(&free), []);
}

/// Guards against routes that no request reaches, or whose requests always fail.
#[test]
fn routes_that_cannot_serve_are_found() {
    let shadowed = finding(|configuration| {
        configuration.routes[1].prefix = "/summaries/".into();
        configuration.routes[1].host = "A.example".into();
    });
    assert!(shadowed.starts_with("error: route `notes` never matches"));
    let open = finding(|configuration| configuration.routes[0].prefix = "/summaries".into());
    assert!(open.contains("tip: write `/summaries/`"), "{open}");
    let unlisted = finding(|configuration| {
        configuration.routes[0].backends.push(("gone".into(), 1.0));
    });
    assert!(unlisted.contains("`gone`, which is not listed"));
    let weightless = finding(|configuration| configuration.routes[0].backends[0].1 = 0.0);
    assert!(weightless.contains("no service with a weight above 0"));
    let short = finding(|configuration| configuration.routes[0].timeout_ms = 300.0);
    assert!(short.contains("shorter than its objective"), "{short}");
    let none = finding(|configuration| configuration.routes[0].attempts_max = Some(0));
    assert!(none.starts_with("warning: "), "{none}");
}

/// Guards against workspaces and services that nobody reaches.
#[test]
fn unreachable_workspaces_and_services_are_found() {
    let keyless = finding(|configuration| {
        configuration.workspaces.as_mut().unwrap()[0].keys.clear();
    });
    assert!(keyless.contains("has no API key"));
    let shared = finding(|configuration| {
        let workspaces = configuration.workspaces.as_mut().unwrap();
        workspaces.push(DeclaredWorkspace {
            name: "talblick".into(),
            ..workspaces[0].clone()
        });
    });
    assert!(shared.contains("belongs to workspace `alpenruh` as well"));
    assert!(!shared.contains("secret-key"), "{shared}");
    let unreached = finding(|configuration| configuration.services.push("idle".into()));
    assert!(unreached.contains("no route reaches service `idle`"));
    let apart = finding(|configuration| {
        configuration.routes[0].allowed_regions = vec!["north".into()];
        configuration.workspaces.as_mut().unwrap()[0].allowed_regions = vec!["south".into()];
    });
    assert!(apart.contains("no region may serve route `summaries`"));
}

/// Guards against limits that allow nothing or contradict each other.
#[test]
fn contradicting_limits_are_found() {
    let empty = finding(|configuration| {
        configuration.limits.as_mut().unwrap().body_bytes_max = 0;
    });
    assert!(empty.contains("size of request bodies is 0"));
    let idle = finding(|configuration| {
        configuration.limits.as_mut().unwrap().idle_timeout_ms = 1_000.0;
    });
    assert!(idle.contains("shorter than the head timeout"));
}

/// Guards against errors that are hidden below many warnings.
#[test]
fn errors_come_first() {
    let mut configuration = valid();
    configuration.services.push("idle".into());
    configuration.limits.as_mut().unwrap().head_bytes_max = 0;
    let severities: Vec<Severity> = check_configuration(&configuration)
        .iter()
        .map(|finding| finding.severity)
        .collect();
    assert_eq!(severities, [Severity::Error, Severity::Warning]);
}

/// Guards against a change that is not shown, or a key that is shown whole.
#[test]
fn differences_are_listed_without_whole_keys() {
    let mut next = valid();
    next.routes[0].priority = 1;
    next.routes[1].name = "menus".into();
    next.services.push("desk".into());
    next.workspaces.as_mut().unwrap()[0].keys[0] = "other-key-2".into();
    next.limits = None;
    let lines = compare_configurations(&valid(), &next);
    for expected in [
        "version 7 does not follow version 7",
        "route `summaries` changed",
        "route `menus` added",
        "route `notes` removed",
        "service `desk` added",
        "workspace `alpenruh` changed",
        "key `othe…` added",
        "key `secr…` removed",
        "limits changed",
    ] {
        assert!(lines.iter().any(|line| line == expected), "{lines:?}");
    }
    assert_eq!(lines.len(), 9);
}
