//! Newtypes for sizes, rates, shares and points in time.

mod quantity;
mod time;

pub use quantity::{ByteCount, BytesPerSecond, ParseQuantityError, RequestRate, Share};
pub use time::{MonoMs, UnixMs};
