//! Switching of one VM's version as a state chart.
//!
//! The chart stands in `switch.chart.yaml` and is interpreted: the agent feeds
//! it [`SwitchEvent`]s and carries out the [`SwitchAction`]s of each edge.

mod chart;
mod error;
mod machine;
mod names;

pub use chart::{Chart, Transition};
pub use error::{ChartError, ChartErrorKind};
pub use machine::{StateMachine, Timeouts};
pub use names::{SwitchAction, SwitchEvent, SwitchTimeout};
