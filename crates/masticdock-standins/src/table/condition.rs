//! Evaluates condition expressions: terms joined by ` AND ` and ` OR `, without
//! parentheses.

use std::cmp::Ordering;

use serde_json::Value as Json;

use super::Rejection;

/// Comparison operators; those with two characters come first, because `<=` also
/// contains `<`.
const OPERATORS: [&str; 6] = ["<>", "<=", ">=", "=", "<", ">"];

/// Evaluates `expression` on `item`, with the placeholders that `body` defines.
pub(super) fn evaluate(
    expression: &str,
    body: &Json,
    item: Option<&Json>,
) -> Result<bool, Rejection> {
    for alternative in expression.split(" OR ") {
        let mut all = true;
        for term in alternative.split(" AND ") {
            all &= evaluate_term(term.trim(), body, item)?;
        }
        if all {
            return Ok(true);
        }
    }
    Ok(false)
}

fn evaluate_term(term: &str, body: &Json, item: Option<&Json>) -> Result<bool, Rejection> {
    let attribute = |name: &str| -> Result<Option<&Json>, Rejection> {
        let name = resolve_name(name.trim(), body)?;
        Ok(item.and_then(|item| item.get(name)))
    };
    if let Some(name) = argument(term, "attribute_not_exists") {
        return Ok(attribute(name)?.is_none());
    }
    if let Some(name) = argument(term, "attribute_exists") {
        return Ok(attribute(name)?.is_some());
    }
    for operator in OPERATORS {
        let Some((name, placeholder)) = term.split_once(operator) else {
            continue;
        };
        let Some(actual) = attribute(name)? else {
            return Ok(operator == "<>");
        };
        let expected = resolve_value(placeholder.trim(), body)?;
        return Ok(compare(operator, actual, expected));
    }
    Err(Rejection::validation(format!("cannot evaluate `{term}`")))
}

fn argument<'a>(term: &'a str, function: &str) -> Option<&'a str> {
    term.strip_prefix(function)?
        .strip_prefix('(')?
        .strip_suffix(')')
}

fn resolve_name<'a>(name: &'a str, body: &'a Json) -> Result<&'a str, Rejection> {
    if !name.starts_with('#') {
        return Ok(name);
    }
    body["ExpressionAttributeNames"][name]
        .as_str()
        .ok_or_else(|| Rejection::validation(format!("the name `{name}` is not defined")))
}

fn resolve_value<'a>(placeholder: &str, body: &'a Json) -> Result<&'a Json, Rejection> {
    body["ExpressionAttributeValues"]
        .get(placeholder)
        .ok_or_else(|| Rejection::validation(format!("the value `{placeholder}` is not defined")))
}

/// Compares two strings or two numbers; returns `None` for values of other or
/// different types.
fn order(left: &Json, right: &Json) -> Option<Ordering> {
    if let (Some(left), Some(right)) = (left["S"].as_str(), right["S"].as_str()) {
        return Some(left.cmp(right));
    }
    let left: u64 = left["N"].as_str()?.parse().ok()?;
    let right: u64 = right["N"].as_str()?.parse().ok()?;
    Some(left.cmp(&right))
}

fn compare(operator: &str, left: &Json, right: &Json) -> bool {
    let Some(order) = order(left, right) else {
        return operator == "<>";
    };
    match operator {
        "=" => order.is_eq(),
        "<>" => order.is_ne(),
        "<" => order.is_lt(),
        "<=" => order.is_le(),
        ">" => order.is_gt(),
        _ => order.is_ge(),
    }
}
