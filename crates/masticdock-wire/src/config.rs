//! Conversion of configuration changes and resources to and from messages.

use masticdock_core::config_log::{AcceptedChange, StoredResource};
use masticdock_core::ids::Revision;
use masticdock_core::units::UnixMs;

use crate::peer_capnp::{change, resource};
use crate::{WireError, text};

/// Writes an accepted change to a message.
///
/// # Errors
///
/// Fails when a resource cannot be serialised as JSON.
pub fn write_change(
    change: &AcceptedChange,
    mut builder: change::Builder<'_>,
) -> Result<(), WireError> {
    builder.set_revision(change.revision.0);
    builder.set_change_id(change.change_id.as_str());
    builder.set_operator(change.operator.as_str());
    builder.set_accepted_at_unix_ms(change.accepted_at_unix_ms.0);
    let body = serde_json::to_string(&change.changes)
        .map_err(|error| WireError::invalid("body", &error))?;
    builder.set_body(body.as_str());
    Ok(())
}

/// Reads an accepted change from a message.
///
/// # Errors
///
/// Fails when a field is malformed; the error names the first such field.
pub fn read_change(reader: change::Reader<'_>) -> Result<AcceptedChange, WireError> {
    let body = text::read("body", reader.get_body())?;
    Ok(AcceptedChange {
        revision: Revision(reader.get_revision()),
        change_id: text::parse("changeId", reader.get_change_id())?,
        operator: text::parse("operator", reader.get_operator())?,
        accepted_at_unix_ms: UnixMs(reader.get_accepted_at_unix_ms()),
        changes: serde_json::from_str(body).map_err(|error| WireError::invalid("body", &error))?,
    })
}

/// Writes a resource and the revision that last changed it.
///
/// # Errors
///
/// Fails when the resource cannot be written as JSON.
pub fn write_stored(
    stored: &StoredResource,
    mut builder: resource::Builder<'_>,
) -> Result<(), WireError> {
    let key = stored.resource.key();
    builder.set_kind(key.kind.as_str());
    builder.set_name(key.name.as_str());
    builder.set_revision(stored.revision.0);
    let body = serde_json::to_string(&stored.resource)
        .map_err(|error| WireError::invalid("body", &error))?;
    builder.set_body(body.as_str());
    Ok(())
}

/// Reads a resource and the revision that last changed it.
///
/// # Errors
///
/// Fails when the body is malformed, or its kind or name differs from the fields `kind` and
/// `name`.
pub fn read_stored(reader: resource::Reader<'_>) -> Result<StoredResource, WireError> {
    let body = text::read("body", reader.get_body())?;
    let stored = StoredResource {
        revision: Revision(reader.get_revision()),
        resource: serde_json::from_str(body).map_err(|error| WireError::invalid("body", &error))?,
    };
    let key = stored.resource.key();
    let name = text::read("name", reader.get_name())?;
    let kind = text::read("kind", reader.get_kind())?;
    if key.name != name || key.kind.as_str() != kind {
        return Err(WireError::invalid(
            "name",
            &"the body describes a different resource",
        ));
    }
    Ok(stored)
}
