//! Thread that reads the fleet view.

use std::thread;
use std::time::Duration;

use compact_str::CompactString;
use masticdock_core::event;
use masticdock_core::membership::{Member, is_reader};
use masticdock_platform::{FleetClient, HttpSettings};

use super::{ControlHandle, ControlMsg};
use crate::event_log::log_event;
use crate::settings::PlatformSettings;

/// Number of processes in each availability zone that read the fleet view at every poll.
const READERS_PER_ZONE: usize = 2;
/// Polls per read of the fleet view in all other processes. They need it only for labels, which
/// gossip does not carry; the leaving state that readers see spreads by gossip without this delay.
const NON_READER_POLLS_PER_READ: u32 = 15;

/// Starts the thread.
///
/// # Errors
///
/// Fails when the thread cannot be started.
pub(super) fn spawn(
    settings: &PlatformSettings,
    own_id: CompactString,
    control: ControlHandle,
) -> anyhow::Result<()> {
    let http = HttpSettings {
        timeout_ms: settings.timeout_ms,
    };
    let mut reader = FleetReader {
        client: FleetClient::new(settings.fleet_view_url.clone(), http),
        control,
        own_id,
        reachable: true,
        polls_since_read: NON_READER_POLLS_PER_READ,
    };
    let interval = Duration::from_millis(settings.fleet_poll_interval_ms);
    thread::Builder::new()
        .name("fleet-reader".to_owned())
        .spawn(move || {
            loop {
                reader.poll_once();
                thread::sleep(interval);
            }
        })?;
    Ok(())
}

struct FleetReader {
    client: FleetClient,
    control: ControlHandle,
    own_id: CompactString,
    reachable: bool,
    polls_since_read: u32,
}

impl FleetReader {
    fn poll_once(&mut self) {
        self.polls_since_read += 1;
        if self.polls_since_read < NON_READER_POLLS_PER_READ && self.reachable && !self.must_read()
        {
            return;
        }
        self.polls_since_read = 0;
        self.read_once();
    }

    fn must_read(&self) -> bool {
        let snapshot = self.control.snapshot();
        // The fleet view lags behind gossip: a VM that has just started may have been missing from
        // the last read, and selectors need its labels.
        let unlisted = |member: &Member| !snapshot.labels.contains_key(&member.id);
        if snapshot.members.iter().any(unlisted) {
            return true;
        }
        let own = snapshot.members.iter().find(|m| m.id == self.own_id);
        own.is_none_or(|own| is_reader(b"fleet", &snapshot.members, own, READERS_PER_ZONE))
    }

    fn read_once(&mut self) {
        match self.client.read() {
            Ok(Some(list)) => {
                for error in self.client.unreadable() {
                    log_event!(event::FLEET_ENTRY_UNREADABLE, "{error}");
                }
                self.control.send(ControlMsg::Fleet(list));
            }
            Ok(None) => {}
            Err(error) => {
                if self.reachable {
                    log_event!(event::FLEET_VIEW_UNAVAILABLE, "{error}");
                }
                self.reachable = false;
                return;
            }
        }
        if !self.reachable {
            log_event!(event::FLEET_VIEW_AVAILABLE, "the fleet view answers again");
        }
        self.reachable = true;
    }
}
