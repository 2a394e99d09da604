//! Clients of the platform's services (table, object store, weight origin and
//! fleet view) and of model engines.

mod engine;
mod fleet;
mod http;
mod object;
mod origin;
mod table;

pub use engine::{EngineClient, EngineState, EngineStatus, LoadOrder, LoadOrderAdapter};
pub use fleet::{FleetClient, FleetList, FleetVm, FleetVmState};
pub use http::{HttpSettings, PlatformError, PlatformErrorKind};
pub use object::ObjectClient;
pub use origin::OriginClient;
pub use table::{Condition, Item, ItemKey, Page, TableClient, Value, Write};
