//! Position in the sequence of changes of the store.

pub use crate::ids::StoreEra;

/// Version of the store in its era. Versions of different eras are not comparable, since a
/// new era gives the lost versions out again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StorePosition {
    /// Era of the version; `None` if the store names none.
    pub era: Option<StoreEra>,
    /// Version of the whole store.
    pub version: u64,
}
