//! Reads text fields of messages and parses their values.

use std::fmt::Display;
use std::str::FromStr;

use crate::WireError;

type TextField<'a> = capnp::Result<capnp::text::Reader<'a>>;

pub(crate) fn read<'a>(field: &'static str, text: TextField<'a>) -> Result<&'a str, WireError> {
    text?
        .to_str()
        .map_err(|error| WireError::invalid(field, &error))
}

pub(crate) fn parse<T>(field: &'static str, text: TextField<'_>) -> Result<T, WireError>
where
    T: FromStr,
    T::Err: Display,
{
    read(field, text)?
        .parse()
        .map_err(|error| WireError::invalid(field, &error))
}

/// Parses a field in which empty text stands for `None`.
pub(crate) fn parse_optional<T>(
    field: &'static str,
    text: TextField<'_>,
) -> Result<Option<T>, WireError>
where
    T: FromStr,
    T::Err: Display,
{
    let text = read(field, text)?;
    if text.is_empty() {
        return Ok(None);
    }
    text.parse()
        .map(Some)
        .map_err(|error| WireError::invalid(field, &error))
}
