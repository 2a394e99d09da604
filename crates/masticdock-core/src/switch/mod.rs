//! State machine that switches one VM to another version.
//!
//! Its state chart is defined in `switch.chart.yaml` and interpreted at run time.
//! The agent passes [`SwitchEvent`]s to the [`StateMachine`] and performs the
//! [`SwitchAction`]s of each transition.

mod chart;
mod error;
mod machine;
mod names;

pub use chart::{Chart, Transition};
pub use error::{ChartError, ChartErrorKind};
pub use machine::{StateMachine, Timeouts};
pub use names::{SwitchAction, SwitchEvent, SwitchTimeout};
