//! Validation shared by several sections of the settings.

use std::net::SocketAddr;

use serde_json::Value as Json;

use super::fields::{FIELDS, flatten};
use super::{Settings, SettingsErrorKind};

/// A value that is out of range or contradicts another value.
pub(super) struct Violation {
    pub(super) kind: SettingsErrorKind,
    pub(super) field: &'static str,
    pub(super) message: String,
    pub(super) tip: &'static str,
}

/// Checks all numbers against the ranges in [`FIELDS`].
pub(super) fn check_ranges(settings: &Settings) -> Result<(), Violation> {
    let values = flatten(settings);
    for field in FIELDS {
        let Some((min, max)) = field.range else {
            continue;
        };
        let Some(value) = values.get(field.path).and_then(Json::as_u64) else {
            continue;
        };
        if (min..=max).contains(&value) {
            continue;
        }
        return Err(Violation {
            kind: SettingsErrorKind::OutOfRange,
            field: field.path,
            message: format!("{value} is outside {min} to {max}"),
            tip: "use a value in the range; docs/SETTINGS.md lists the defaults",
        });
    }
    Ok(())
}

/// Checks that `url` is an HTTP base URL with a host.
pub(super) fn check_url(field: &'static str, url: &str) -> Result<(), Violation> {
    let host = url.strip_prefix("http://").unwrap_or_default();
    if !host.is_empty() && !host.starts_with('/') && !host.contains(char::is_whitespace) {
        return Ok(());
    }
    Err(Violation {
        kind: SettingsErrorKind::OutOfRange,
        field,
        message: format!("`{url}` is not the URL of an HTTP service"),
        tip: "write http://HOST:PORT; HTTPS is not supported",
    })
}

/// Checks that no two listeners have the same address; port 0 is exempt, as the system then
/// picks a free port.
pub(super) fn check_distinct(listeners: &[(&'static str, SocketAddr)]) -> Result<(), Violation> {
    for (index, (field, addr)) in listeners.iter().enumerate() {
        for (other, other_addr) in &listeners[..index] {
            if addr != other_addr || addr.port() == 0 {
                continue;
            }
            return Err(Violation {
                kind: SettingsErrorKind::Contradiction,
                field,
                message: format!("{addr} is the address of `{other}` too"),
                tip: "give each listener a port of its own",
            });
        }
    }
    Ok(())
}
