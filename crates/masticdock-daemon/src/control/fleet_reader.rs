//! Thread that reads the fleet view.

use std::thread;
use std::time::Duration;

use masticdock_core::event;
use masticdock_platform::{FleetClient, HttpSettings};

use super::{ControlHandle, ControlMsg};
use crate::event_log::log_event;
use crate::settings::PlatformSettings;

/// Starts the thread.
///
/// # Errors
///
/// Fails when the thread cannot be started.
pub(super) fn spawn(settings: &PlatformSettings, control: ControlHandle) -> anyhow::Result<()> {
    let http = HttpSettings {
        timeout_ms: settings.timeout_ms,
    };
    let mut client = FleetClient::new(settings.fleet_view_url.clone(), http);
    let interval = Duration::from_millis(settings.fleet_poll_interval_ms);
    thread::Builder::new()
        .name("fleet-reader".to_owned())
        .spawn(move || {
            let mut reachable = true;
            loop {
                reachable = read_once(&mut client, &control, reachable);
                thread::sleep(interval);
            }
        })?;
    Ok(())
}

fn read_once(client: &mut FleetClient, control: &ControlHandle, was_reachable: bool) -> bool {
    match client.read() {
        Ok(Some(list)) => control.send(ControlMsg::Fleet(list)),
        Ok(None) => {}
        Err(error) => {
            if was_reachable {
                log_event!(event::FLEET_VIEW_UNAVAILABLE, "{error}");
            }
            return false;
        }
    }
    if !was_reachable {
        log_event!(event::FLEET_VIEW_AVAILABLE, "the fleet view answers again");
    }
    true
}
