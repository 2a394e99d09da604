//! Sizes, rates, shares and points in time as newtypes.

mod quantity;
mod time;

pub use quantity::{ByteCount, BytesPerSecond, ParseQuantityError, Share};
pub use time::{MonoMs, UnixMs};
