//! Reading and validation of settings files.

use std::path::Path;

use masticdock_core::suggest;

use super::check::check_ranges;
use super::fields::{FIELDS, unit_of};
use super::locate::{key_with_value, line_of};
use super::{Settings, SettingsError, SettingsErrorKind};

/// Reads and validates the settings file at `path`.
///
/// # Errors
///
/// Fails when the file cannot be read, parsed or validated; the error names the path, the
/// line and the field, with a tip where one is known.
pub(crate) fn load(path: &Path) -> Result<Settings, SettingsError> {
    let text = std::fs::read_to_string(path).map_err(|error| SettingsError {
        kind: SettingsErrorKind::Unreadable,
        path: path.to_owned(),
        line: None,
        field: String::new(),
        message: format!("cannot read the file: {error}"),
        tip: "check the path and the permissions".to_owned(),
    })?;
    let settings = parse(path, &text)?;
    check(path, &text, &settings)?;
    Ok(settings)
}

fn parse(path: &Path, text: &str) -> Result<Settings, SettingsError> {
    // Deserialising an internally tagged enum loses line numbers, so the role is read first
    // and the file is then parsed directly into the settings of that role.
    #[derive(serde::Deserialize)]
    struct RoleOnly {
        role: String,
    }
    let malformed = |error: &serde_yaml_ng::Error| malformed(path, text, error);
    let role: RoleOnly = serde_yaml_ng::from_str(text).map_err(|e| malformed(&e))?;
    match role.role.as_str() {
        "entry" => serde_yaml_ng::from_str(text)
            .map(|entry| Settings::Entry(Box::new(entry)))
            .map_err(|e| malformed(&e)),
        "agent" => serde_yaml_ng::from_str(text)
            .map(|agent| Settings::Agent(Box::new(agent)))
            .map_err(|e| malformed(&e)),
        other => Err(SettingsError {
            kind: SettingsErrorKind::OutOfRange,
            path: path.to_owned(),
            line: line_of(text, "role"),
            field: "role".to_owned(),
            message: format!("there is no role `{other}`"),
            tip: "use `entry` or `agent`".to_owned(),
        }),
    }
}

fn malformed(path: &Path, text: &str, error: &serde_yaml_ng::Error) -> SettingsError {
    let full_message = error.to_string();
    // The line is reported separately, and the column is dropped because it points past the
    // value.
    let message = full_message
        .rsplit_once(" at line ")
        .map_or(&*full_message, |(start, _)| start);
    let (mut field, message) = split_field(message);
    // When the type rejects a value that serde could parse, serde names only the section.
    if let Some(value) = rejected_value(message)
        && let Some(key) = key_with_value(text, &field, value)
    {
        field = format!("{field}.{key}");
    }
    let tip = suggest::for_serde_message(message)
        .or_else(|| unit_tip(&field, message))
        .or_else(|| field_tip(&field, message));
    SettingsError {
        kind: SettingsErrorKind::Malformed,
        path: path.to_owned(),
        line: line_of(text, &field).or_else(|| error.location().map(|location| location.line())),
        message: message.to_owned(),
        tip: tip.unwrap_or_default(),
        field,
    }
}

/// Splits a serde message such as "`gossip.push_fanout`: invalid type" into field and message.
fn split_field(message: &str) -> (String, &str) {
    let is_field = |text: &str| {
        text.chars()
            .all(|c| c.is_ascii_alphanumeric() || matches!(c, '_' | '.' | '[' | ']'))
    };
    let Some((field, rest)) = message.split_once(": ") else {
        return (unknown_field(message).unwrap_or_default(), message);
    };
    if !is_field(field) {
        return (unknown_field(message).unwrap_or_default(), message);
    }
    match unknown_field(rest) {
        Some(unknown) => (format!("{field}.{unknown}"), rest),
        None => (field.to_owned(), rest),
    }
}

/// Returns the field named in serde's message "unknown field `x`, expected one of `a`, `b`".
fn unknown_field(message: &str) -> Option<String> {
    let rest = message.strip_prefix("unknown field `")?;
    rest.split('`').next().map(str::to_owned)
}

/// Returns the value named in a message such as "invalid share `80`; write a fraction".
fn rejected_value(message: &str) -> Option<&str> {
    let rest = message.strip_prefix("invalid ")?;
    rest.split('`').nth(1)
}

/// Returns a tip on how to write the value of a field with this suffix.
fn unit_tip(field: &str, message: &str) -> Option<String> {
    if !message.starts_with("invalid type") && !message.starts_with("invalid value") {
        return None;
    }
    if field.ends_with("_share") {
        return Some("write a fraction from 0 to 1, for example 0.8".to_owned());
    }
    let unit = unit_of(field)?;
    Some(format!("write the number of {unit} without a unit"))
}

/// Returns a tip for a missing field or for a field of the other role.
fn field_tip(field: &str, message: &str) -> Option<String> {
    if message == "missing field `role`" {
        return Some("begin with `role: entry` or `role: agent`".to_owned());
    }
    if message.starts_with("missing field") {
        return Some("add it; docs/SETTINGS.md says what it holds".to_owned());
    }
    let section = format!("{field}.");
    let is_known = |path: &str| path == field || path.starts_with(&section);
    if message.starts_with("unknown field") && FIELDS.iter().any(|known| is_known(known.path)) {
        return Some("remove it, it belongs to the other role".to_owned());
    }
    None
}

fn check(path: &Path, text: &str, settings: &Settings) -> Result<(), SettingsError> {
    let violation = check_ranges(settings).and_then(|()| match settings {
        Settings::Entry(entry) => entry.check(),
        Settings::Agent(agent) => agent.check(),
    });
    let Err(violation) = violation else {
        return Ok(());
    };
    Err(SettingsError {
        kind: violation.kind,
        path: path.to_owned(),
        line: line_of(text, violation.field),
        field: violation.field.to_owned(),
        message: violation.message,
        tip: violation.tip.to_owned(),
    })
}
