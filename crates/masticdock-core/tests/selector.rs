//! Tests label selectors against a reference matcher, and the errors of malformed selectors.

use masticdock_core::resource::Labels;
use masticdock_core::selector::{Selector, SelectorErrorKind};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn labels(pairs: &[(String, String)]) -> Labels {
    pairs
        .iter()
        .map(|(key, value)| (key.as_str().into(), value.as_str().into()))
        .collect()
}

/// Reference matcher: evaluates one requirement, given as parts, by plain string comparisons.
fn reference_matches(labels: &Labels, key: &str, operator: &str, values: &[String]) -> bool {
    let value = labels.get(key);
    let is_listed = value.is_some_and(|value| values.iter().any(|other| other.as_str() == value));
    match operator {
        "=" | "in" => is_listed,
        "!=" | "notin" => !is_listed,
        "present" => value.is_some(),
        _ => value.is_none(),
    }
}

fn format_requirement(key: &str, operator: &str, values: &[String]) -> String {
    match operator {
        "=" | "!=" => format!("{key} {operator} {}", values[0]),
        "in" | "notin" => format!("{key} {operator} ({})", values.join(" ,")),
        "present" => key.to_owned(),
        _ => format!("!{key}"),
    }
}

/// Guards against requirements that match other labels than documented, and
/// against a selector whose printed form does not parse to the same selector.
#[test]
fn selectors_match_like_the_reference_matcher() {
    let word = "[ab]|zone/x";
    let requirement = (
        word,
        prop::sample::select(vec!["=", "!=", "in", "notin", "present", "absent"]),
        prop::collection::vec(word, 1..3),
    );
    let strategy = (
        prop::collection::vec((word, word), 0..4),
        prop::collection::vec(requirement, 1..4),
    );
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(512), rng);
    runner
        .run(&strategy, |(pairs, requirements)| {
            let labels = labels(&pairs);
            let mut expected = true;
            let mut parts = Vec::new();
            for (key, operator, values) in &requirements {
                let values = if matches!(*operator, "=" | "!=") {
                    &values[..1]
                } else {
                    &values[..]
                };
                expected &= reference_matches(&labels, key, operator, values);
                parts.push(format_requirement(key, operator, values));
            }
            let text = parts.join(",");
            let selector: Selector = text.parse().unwrap();
            prop_assert_eq!(selector.matches(&labels), expected, "{}", text);
            let reparsed: Selector = selector.to_string().parse().unwrap();
            prop_assert_eq!(reparsed, selector);
            Ok(())
        })
        .unwrap();
}

/// Guards against errors that report a wrong position or kind.
#[test]
fn malformed_selectors_report_position_and_kind() {
    let cases = [
        ("", 1, SelectorErrorKind::Empty),
        ("  ", 3, SelectorErrorKind::Empty),
        ("a=b,", 5, SelectorErrorKind::MissingKey),
        ("=b", 1, SelectorErrorKind::MissingKey),
        ("a=", 3, SelectorErrorKind::MissingValue),
        ("a=é", 3, SelectorErrorKind::MissingValue),
        ("a!b", 3, SelectorErrorKind::Unexpected),
        ("a of (b)", 3, SelectorErrorKind::Unexpected),
        ("a in b", 6, SelectorErrorKind::MissingList),
        ("a in (b", 8, SelectorErrorKind::MissingList),
        ("a in ()", 7, SelectorErrorKind::MissingValue),
        ("a=b c", 5, SelectorErrorKind::Unexpected),
        ("!", 2, SelectorErrorKind::MissingKey),
    ];
    for (text, position, kind) in cases {
        let error = text.parse::<Selector>().unwrap_err();
        assert_eq!((error.position(), error.kind()), (position, kind), "{text}");
    }
    let long = "a".repeat(2_000).parse::<Selector>().unwrap_err();
    assert_eq!(long.kind(), SelectorErrorKind::TooLong);
    insta::assert_snapshot!(
        "fleet=assistant, zone in a".parse::<Selector>().unwrap_err(),
        @"position 26 of the selector: expected `(`, found `a`; tip: put the values in parentheses, for example `zone in (a, b)`"
    );
}
