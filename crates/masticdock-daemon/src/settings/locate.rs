//! Lookup of fields in the text of a settings file.

/// Returns the line, counted from 1, of a dotted field in block-style YAML.
///
/// For a field that is missing or written in flow style (within braces), returns the line of
/// the innermost section found, or `None` when no section is found either.
pub(super) fn line_of(text: &str, field: &str) -> Option<usize> {
    let mut parts = field.split('.').peekable();
    let mut found = None;
    // Indentation of the most recently entered section; `None` before the first one.
    let mut section: Option<usize> = None;
    for (index, line) in text.lines().enumerate() {
        let trimmed = line.trim_start();
        if trimmed.is_empty() || trimmed.starts_with('#') {
            continue;
        }
        let indent = line.len() - trimmed.len();
        if section.is_some_and(|section| indent <= section) {
            break;
        }
        let part = parts.peek()?.split('[').next()?;
        let is_key = trimmed
            .strip_prefix(part)
            .is_some_and(|rest| rest.starts_with(':'));
        if !is_key || (section.is_none() && indent > 0) {
            continue;
        }
        found = Some(index + 1);
        parts.next();
        section = Some(indent);
        if parts.peek().is_none() {
            break;
        }
    }
    found
}

/// Returns the key with this value in a section of block-style YAML, or `None` unless exactly
/// one key has it.
pub(super) fn key_with_value<'a>(text: &'a str, section: &str, value: &str) -> Option<&'a str> {
    let start = line_of(text, section)?;
    let mut found = None;
    for line in text.lines().skip(start) {
        if line.starts_with(|c: char| !c.is_whitespace() && c != '#') {
            break;
        }
        let Some((key, value_text)) = line.trim().split_once(':') else {
            continue;
        };
        if value_text.trim().trim_matches(['"', '\'']) != value {
            continue;
        }
        if found.is_some() {
            return None;
        }
        found = Some(key);
    }
    found
}
