//! Pace at which a process polls a table that changes rapidly.
//!
//! Load pattern: the configuration changes several times a second, and each poll returns
//! all of it. All entries of a region poll over one link, which requests of callers share.
//! If each polled again at once, the link would be full, requests would be late, and the
//! polls themselves would lag behind the changes for seconds.
//!
//! Load pattern: each poll is a call that the store has to serve. Hundreds of upstreams
//! change their rows within a few seconds when they switch to a new version, which agents
//! report to entries directly.

use std::time::Duration;

use super::directory::DirectoryChange;

/// Pause after a poll, as a multiple of the time that its transfer took. Four entries of a
/// region together then use at most four fifths of their link, and less as it fills.
const PAUSE_PER_TRANSFER: u32 = 4;

/// Returns the pause after a poll whose body took `transfer` to arrive.
#[must_use]
pub fn poll_pause(transfer: Duration, pause_min: Duration, pause_max: Duration) -> Duration {
    (transfer * PAUSE_PER_TRANSFER).clamp(pause_min, pause_max.max(pause_min))
}

/// Time for a reply to a poll that finds a change already made: two trips between the
/// farthest regions and the work of a slow store.
pub(super) const IMMEDIATE_REPLY: Duration = Duration::from_millis(300);

/// Returns the greatest age that a change can have when the reply to a poll begins:
/// `waited` is the time since the poll was sent, `pause` the time before it in which none
/// was open; `None` after failed polls, since the limits of a change start anew when the
/// store returns. A poll that waited returns a change at once.
#[must_use]
pub fn change_age(waited: Duration, pause: Option<Duration>) -> Duration {
    if waited > IMMEDIATE_REPLY {
        return IMMEDIATE_REPLY / 2;
    }
    waited + pause.unwrap_or_default()
}

/// Limits of a deployment that the polls of a table have to keep.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PollLimits {
    /// Time within which an accepted configuration has to be in force.
    pub configuration_deadline: Duration,
    /// Time without disturbances after which that limit applies.
    pub stable: Duration,
    /// Time within which a leaving upstream must no longer receive requests.
    pub drain: Duration,
}

/// Shortest and longest duration of a long poll.
const LONG_POLL_RANGE: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(4));
/// Time for a reply and the next poll after a long poll ended.
const REPOLL_TIME: Duration = Duration::from_millis(500);
/// Pause after a batch in which upstreams joined or left.
const MEMBERSHIP_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause after a batch without joins and leaves.
const UPDATE_PAUSE_MAX: Duration = Duration::from_secs(1);

impl PollLimits {
    /// Returns how long a poll waits for a change. A connection that went silent shows
    /// only when a poll ends without a reply, so the wait is half of the time after a
    /// disturbance in which a change has to be noticed.
    #[must_use]
    pub fn long_poll(&self) -> Duration {
        let (shortest, longest) = LONG_POLL_RANGE;
        let wait = (self.configuration_deadline + self.stable) / 2;
        wait.saturating_sub(REPOLL_TIME).clamp(shortest, longest)
    }

    /// Returns the pause after a batch of changes of upstreams. While upstreams join or
    /// leave, more do so soon; other changes can wait longer, within a quarter of the time
    /// in which a leave has to be noticed.
    #[must_use]
    pub fn upstreams_pause(&self, changes: &[DirectoryChange]) -> Duration {
        let is_update = |change: &DirectoryChange| matches!(change, DirectoryChange::Updated(_));
        if changes.iter().all(is_update) {
            return (self.drain / 4).clamp(MEMBERSHIP_PAUSE, UPDATE_PAUSE_MAX);
        }
        MEMBERSHIP_PAUSE
    }
}
