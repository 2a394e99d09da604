//! Label selectors, which rollouts use to select VMs.
//!
//! A selector is a comma-separated list of requirements; a VM matches if all of
//! them hold.
//!
//! | requirement | holds if the label `k` |
//! |---|---|
//! | `k=v` or `k==v` | has the value `v` |
//! | `k!=v` | is absent or has another value |
//! | `k in (a, b)` | has one of the values |
//! | `k notin (a, b)` | is absent or has none of the values |
//! | `k` | is present |
//! | `!k` | is absent |

mod error;
mod parse;

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;

use crate::resource::Labels;

pub use error::{SelectorError, SelectorErrorKind};

/// Maximum length of a selector, in bytes.
pub const SELECTOR_LEN_MAX: usize = 1_024;

/// Condition on the value of one label.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Condition {
    In(Vec<CompactString>),
    NotIn(Vec<CompactString>),
    Present,
    Absent,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Requirement {
    key: CompactString,
    condition: Condition,
}

impl Requirement {
    fn holds(&self, value: Option<&str>) -> bool {
        let is_listed = |values: &[CompactString]| {
            value.is_some_and(|value| values.iter().any(|other| other == value))
        };
        match &self.condition {
            Condition::In(values) => is_listed(values),
            Condition::NotIn(values) => !is_listed(values),
            Condition::Present => value.is_some(),
            Condition::Absent => value.is_none(),
        }
    }
}

/// Parsed label selector.
///
/// # Examples
///
/// ```
/// use masticdock_core::resource::Labels;
/// use masticdock_core::selector::Selector;
///
/// let selector: Selector = "fleet=assistant, zone in (a, b), !canary".parse().unwrap();
/// let mut labels = Labels::new();
/// labels.insert("fleet".into(), "assistant".into());
/// labels.insert("zone".into(), "a".into());
/// assert!(selector.matches(&labels));
/// labels.insert("canary".into(), "yes".into());
/// assert!(!selector.matches(&labels));
///
/// let error = "fleet=assistant, zone in a".parse::<Selector>().unwrap_err();
/// assert_eq!(error.position(), 26);
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Selector {
    requirements: Vec<Requirement>,
}

impl Selector {
    /// Returns `true` if every requirement holds for `labels`.
    #[must_use]
    pub fn matches(&self, labels: &Labels) -> bool {
        self.matches_with(|key| labels.get(key).map(CompactString::as_str))
    }

    /// Returns `true` if every requirement holds for the label values returned by `value_of`.
    pub fn matches_with<'a>(&self, value_of: impl Fn(&str) -> Option<&'a str>) -> bool {
        for requirement in &self.requirements {
            if !requirement.holds(value_of(&requirement.key)) {
                return false;
            }
        }
        true
    }

    /// Iterates over the label keys in the selector; a key can occur more than once.
    pub fn keys(&self) -> impl Iterator<Item = &str> {
        self.requirements.iter().map(|req| req.key.as_str())
    }
}

impl FromStr for Selector {
    type Err = SelectorError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let requirements = parse::parse(text)?;
        Ok(Self { requirements })
    }
}

impl fmt::Display for Selector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, requirement) in self.requirements.iter().enumerate() {
            if index > 0 {
                f.write_str(", ")?;
            }
            requirement.fmt(f)?;
        }
        Ok(())
    }
}

impl fmt::Display for Requirement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let key = &self.key;
        match &self.condition {
            Condition::In(values) if values.len() == 1 => write!(f, "{key}={}", values[0]),
            Condition::NotIn(values) if values.len() == 1 => write!(f, "{key}!={}", values[0]),
            Condition::In(values) => write!(f, "{key} in ({})", values.join(", ")),
            Condition::NotIn(values) => write!(f, "{key} notin ({})", values.join(", ")),
            Condition::Present => f.write_str(key),
            Condition::Absent => write!(f, "!{key}"),
        }
    }
}
