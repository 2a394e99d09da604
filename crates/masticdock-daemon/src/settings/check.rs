//! Checks that several parts of the settings share.

use std::net::SocketAddr;

use serde_json::Value as Json;

use super::fields::{FIELDS, flatten};
use super::{Settings, SettingsErrorKind};

/// One value outside its range or in contradiction to another.
pub(super) struct Finding {
    pub(super) kind: SettingsErrorKind,
    pub(super) field: &'static str,
    pub(super) message: String,
    pub(super) tip: &'static str,
}

/// Checks all numbers against the ranges of the list of fields.
pub(super) fn check_ranges(settings: &Settings) -> Result<(), Finding> {
    let values = flatten(settings);
    for field in FIELDS {
        let Some((first, last)) = field.range else {
            continue;
        };
        let Some(value) = values.get(field.path).and_then(Json::as_u64) else {
            continue;
        };
        if (first..=last).contains(&value) {
            continue;
        }
        return Err(Finding {
            kind: SettingsErrorKind::OutOfRange,
            field: field.path,
            message: format!("{value} is outside {first} to {last}"),
            tip: "use a value in the range; docs/SETTINGS.md lists the defaults",
        });
    }
    Ok(())
}

/// Checks the base URL of a service.
pub(super) fn check_url(field: &'static str, url: &str) -> Result<(), Finding> {
    let host = url.strip_prefix("http://").unwrap_or_default();
    if !host.is_empty() && !host.starts_with('/') && !host.contains(char::is_whitespace) {
        return Ok(());
    }
    Err(Finding {
        kind: SettingsErrorKind::OutOfRange,
        field,
        message: format!("`{url}` is not the URL of an HTTP service"),
        tip: "write http://HOST:PORT; HTTPS is not supported",
    })
}

/// Checks that no two listeners have the same address.
pub(super) fn check_distinct(listeners: &[(&'static str, SocketAddr)]) -> Result<(), Finding> {
    for (index, (field, addr)) in listeners.iter().enumerate() {
        for (other, other_addr) in &listeners[..index] {
            if addr != other_addr || addr.port() == 0 {
                continue;
            }
            return Err(Finding {
                kind: SettingsErrorKind::Contradiction,
                field,
                message: format!("{addr} is the address of `{other}` too"),
                tip: "give each listener a port of its own",
            });
        }
    }
    Ok(())
}
