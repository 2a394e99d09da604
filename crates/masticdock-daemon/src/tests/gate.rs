//! Admission of requests by an agent's serving gate.

use crate::agent::{GateState, Rejection, ServingGate};

/// Guards against new requests being admitted between the stop signal and the end of the process
/// because an older snapshot clears the leaving mark.
#[test]
fn stopped_gate_stays_closed_when_leaving_is_cleared() {
    let gate = ServingGate::new();
    gate.set_state(GateState::Serving(None));
    gate.stop();
    gate.set_leaving(false);
    assert_eq!(gate.enter(None).err(), Some(Rejection::Leaving));
}

/// Guards against a drain that finishes while an admitted request is still running.
#[test]
fn admitted_requests_are_counted_after_a_stop() {
    let gate = ServingGate::new();
    gate.set_state(GateState::Serving(None));
    let running = gate.enter(None).expect("the gate is open");
    gate.stop();
    assert_eq!(gate.in_progress(), 1);
    drop(running);
    assert_eq!(gate.in_progress(), 0);
}
