//! Reading and checking of settings files.

use std::path::Path;

use super::{Settings, SettingsError, SettingsErrorKind};

/// Smallest similarity at which a known field is suggested for an unknown one.
const SUGGESTION_SIMILARITY_MIN: f64 = 0.7;

/// Reads and checks the settings in `path`.
///
/// # Errors
///
/// Names the path, the line and the field, with a tip where one is known.
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
    // An internally tagged enum loses line numbers, so the role is read first
    // and the rest is parsed straight into the settings of that role.
    #[derive(serde::Deserialize)]
    struct RoleOnly {
        role: String,
    }
    let malformed = |error: &serde_yaml_ng::Error| malformed(path, error);
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

fn malformed(path: &Path, error: &serde_yaml_ng::Error) -> SettingsError {
    let message = error.to_string();
    SettingsError {
        kind: SettingsErrorKind::Malformed,
        path: path.to_owned(),
        line: error.location().map(|location| location.line()),
        field: String::new(),
        tip: suggestion(&message).unwrap_or_default(),
        message,
    }
}

/// Finds the known field that is most like the unknown one in serde's message
/// "unknown field `x`, expected one of `a`, `b`".
fn suggestion(message: &str) -> Option<String> {
    let rest = message.split_once("unknown field ")?.1;
    let mut quoted = rest.split('`').skip(1).step_by(2);
    let unknown = quoted.next()?;
    let mut best: Option<(f64, &str)> = None;
    for known in quoted {
        let similarity = strsim::jaro_winkler(unknown, known);
        if similarity < SUGGESTION_SIMILARITY_MIN {
            continue;
        }
        if best.is_none_or(|(other, _)| similarity > other) {
            best = Some((similarity, known));
        }
    }
    best.map(|(_, known)| format!("did you mean `{known}`?"))
}

/// Returns the line on which the last part of a dotted field stands.
pub(super) fn line_of(text: &str, field: &str) -> Option<usize> {
    let key = field.rsplit('.').next()?;
    for (index, line) in text.lines().enumerate() {
        let trimmed = line.trim_start().trim_start_matches("- ");
        let Some(rest) = trimmed.strip_prefix(key) else {
            continue;
        };
        if rest.starts_with(':') {
            return Some(index + 1);
        }
    }
    None
}

/// One value outside its range or in contradiction to another.
pub(super) struct Finding {
    pub(super) kind: SettingsErrorKind,
    pub(super) field: &'static str,
    pub(super) message: String,
    pub(super) tip: &'static str,
}

fn check(path: &Path, text: &str, settings: &Settings) -> Result<(), SettingsError> {
    let finding = match settings {
        Settings::Entry(entry) => entry.check(),
        Settings::Agent(agent) => agent.check(),
    };
    let Err(finding) = finding else {
        return Ok(());
    };
    Err(SettingsError {
        kind: finding.kind,
        path: path.to_owned(),
        line: line_of(text, finding.field),
        field: finding.field.to_owned(),
        message: finding.message,
        tip: finding.tip.to_owned(),
    })
}

/// Checks that `value` lies in `range`.
pub(super) fn in_range(
    field: &'static str,
    value: u64,
    range: std::ops::RangeInclusive<u64>,
) -> Result<(), Finding> {
    if range.contains(&value) {
        return Ok(());
    }
    Err(Finding {
        kind: SettingsErrorKind::OutOfRange,
        field,
        message: format!("{value} is outside {} to {}", range.start(), range.end()),
        tip: "use a value in the range; docs/SETTINGS.md lists the defaults",
    })
}
