//! Suggestions for misspelled field names.

/// Minimum Jaro-Winkler similarity at which a known name is suggested for an unknown one.
const SIMILARITY_MIN: f64 = 0.7;

/// Returns a suggestion for an error message of serde about an unknown field.
///
/// The message has the form "unknown field `x`, expected one of `a`, `b`"; the
/// suggestion names the expected field that is most similar to the unknown one.
/// Returns `None` for other messages and if no expected field is similar enough.
///
/// # Examples
///
/// ```
/// use masticdock_core::suggest::for_serde_message;
///
/// let message = "unknown field `selecter`, expected one of `name`, `selector`";
/// assert_eq!(for_serde_message(message).as_deref(), Some("did you mean `selector`?"));
/// ```
#[must_use]
pub fn for_serde_message(message: &str) -> Option<String> {
    let (_, rest) = message.split_once("unknown field ")?;
    let mut quoted = rest.split('`').skip(1).step_by(2);
    let unknown = quoted.next()?;
    let mut best: Option<(f64, &str)> = None;
    for known in quoted {
        let similarity = strsim::jaro_winkler(unknown, known);
        if similarity < SIMILARITY_MIN {
            continue;
        }
        if best.is_none_or(|(other, _)| similarity > other) {
            best = Some((similarity, known));
        }
    }
    best.map(|(_, known)| format!("did you mean `{known}`?"))
}
