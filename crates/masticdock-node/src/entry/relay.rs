//! Relays the events of a stream to the caller, and resumes a broken stream at another
//! upstream.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use masticdock_adapter::BodyEnd;
use masticdock_core::serving::{AttemptOutcome, CRASH_SUSPICION_MS, NextStep, StreamEvent};
use masticdock_core::units::MonoMs;
use tokio::sync::mpsc::{Sender, channel};
use tokio::time::{Instant, sleep_until};

use super::answer::{CallerResponseBody, Truncated, event_stream};
use super::attempt::{AttemptResult, OpenStream, run_attempt};
use super::candidates::ChosenUpstream;
use super::connections::InUseGuard;
use super::crashes::{record_success, report_suspects};
use super::outcome::{ResponseTimes, record_end};
use super::request::{Call, FailedAttempts, choose_for_call, decide_next_step};
use super::state::Entry;
use crate::clock;

/// Maximum number of events queued for a caller that reads slowly.
const EVENT_QUEUE_LENGTH: usize = 8;
/// Time without an event after which a stream counts as broken: several times the
/// longest pause of a full batch.
const EVENT_TIMEOUT: Duration = Duration::from_millis(1_200);

/// State of a stream that is relayed to a caller.
struct Relay {
    entry: Rc<Entry>,
    call: Call,
    failures: FailedAttempts,
    events: Sender<Result<Bytes, Truncated>>,
    last_id: Option<u64>,
    first_event_ms: u64,
    /// Longest pause between arrivals of events, in milliseconds.
    max_pause_ms: u64,
    /// True once the present upstream wrote for so long that the request cannot crash it.
    is_sound: bool,
}

/// Reason why the relay of one upstream's events ended.
enum RelayEnd {
    /// The stream is complete.
    Complete,
    /// The caller closed the connection.
    CallerLeft,
    /// The deadline passed.
    DeadlinePassed,
    /// The upstream's stream is incomplete or invalid; the text is logged as the reason.
    Broken(String),
}

/// Starts to relay a stream whose first events have arrived, and returns its response.
pub(crate) fn start(
    entry: Rc<Entry>,
    call: Call,
    chosen: ChosenUpstream,
    mut stream: OpenStream,
    mut failures: FailedAttempts,
    in_use: InUseGuard,
) -> Response<CallerResponseBody> {
    let (sender, receiver) = channel(EVENT_QUEUE_LENGTH);
    let head = std::mem::take(&mut stream.head);
    failures.history.response_started = true;
    let relay = Relay {
        first_event_ms: call.age_ms(),
        max_pause_ms: 0,
        is_sound: false,
        last_id: call.head.last_event_id,
        entry,
        call,
        failures,
        events: sender,
    };
    tokio::task::spawn_local(relay.run(chosen, stream));
    event_stream(head, receiver, in_use)
}

impl Relay {
    async fn run(mut self, mut chosen: ChosenUpstream, mut stream: OpenStream) {
        loop {
            let sent_at = stream.sent_at;
            let body_end = stream.body_end;
            let reason = match self.relay_events(stream).await {
                RelayEnd::Complete => {
                    match body_end {
                        BodyEnd::Marked if self.is_sound => {}
                        BodyEnd::Marked => record_success(&self.entry, &self.call, sent_at),
                        BodyEnd::WithConnection => self.report_unless_sound(&chosen),
                    }
                    return self.finish_request("answered", &chosen);
                }
                RelayEnd::CallerLeft => return self.finish_request("caller_left", &chosen),
                RelayEnd::DeadlinePassed => return self.truncate("timed_out", &chosen).await,
                RelayEnd::Broken(reason) => reason,
            };
            self.report_unless_sound(&chosen);
            self.failures
                .record(&chosen.upstream.id, AttemptOutcome::Broken);
            self.entry
                .with_load(&chosen.upstream.id, |load| load.record_error(clock::now()));
            log::warn!(
                event = "stream.broken",
                request_id = self.call.head.request_id.as_str(),
                upstream = chosen.upstream.id.as_str(),
                last_event = self.last_id.unwrap_or(0),
                reason = reason.as_str();
                "a stream broke before its end"
            );
            let Some((next, resumed)) = self.resume(AttemptOutcome::Broken).await else {
                return self.truncate("cut", &chosen).await;
            };
            chosen = next;
            stream = resumed;
        }
    }

    /// Reports the request as the possible cause of a crash, unless the upstream has written
    /// for longer than such a request lets it.
    fn report_unless_sound(&self, chosen: &ChosenUpstream) {
        if !self.is_sound {
            report_suspects(&self.entry, &self.call, &chosen.upstream);
        }
    }

    /// Resumes the stream at another upstream; returns `None` if no retry is allowed or
    /// possible.
    async fn resume(
        &mut self,
        mut failure: AttemptOutcome,
    ) -> Option<(ChosenUpstream, OpenStream)> {
        loop {
            if decide_next_step(&self.entry, &self.call, &self.failures.history, failure)
                != NextStep::Retry
            {
                return None;
            }
            let chosen = choose_for_call(&self.entry, &self.call, &self.failures.upstreams).ok()?;
            log::info!(
                event = "stream.resuming",
                request_id = self.call.head.request_id.as_str(),
                upstream = chosen.upstream.id.as_str(),
                after_event = self.last_id.unwrap_or(0);
                "a stream is resumed at another upstream"
            );
            let history = self.failures.history;
            let attempted = run_attempt(&self.entry, &self.call, &chosen, &history, self.last_id);
            let outcome = tokio::select! {
                outcome = attempted => outcome,
                () = self.events.closed() => return None,
            };
            match outcome {
                AttemptResult::Stream(stream) => return Some((chosen, *stream)),
                AttemptResult::Buffered(..) => return None,
                AttemptResult::Failed(next_failure, _) => {
                    self.failures.record(&chosen.upstream.id, next_failure);
                    failure = next_failure;
                }
            }
        }
    }

    /// Relays the events of one upstream until its stream ends or breaks.
    async fn relay_events(&mut self, mut stream: OpenStream) -> RelayEnd {
        let first = std::mem::take(&mut stream.first_events);
        if let Some(end) = self.send_events(first).await {
            return end;
        }
        let first_event_at = clock::now();
        self.is_sound = false;
        let mut ended = stream.ended;
        // Bytes that complete no event are no progress.
        let mut event_due_at = Instant::now() + EVENT_TIMEOUT;
        while !ended {
            let wait_started_at = clock::now();
            let frame = tokio::select! {
                frame = stream.body.frame() => frame,
                () = self.events.closed() => return RelayEnd::CallerLeft,
                () = sleep_until(self.call.deadline.min(event_due_at)) => {
                    if Instant::now() >= self.call.deadline {
                        return RelayEnd::DeadlinePassed;
                    }
                    return RelayEnd::Broken("no event within the timeout".to_owned());
                }
            };
            match frame {
                None => ended = true,
                Some(Err(error)) => return RelayEnd::Broken(error.to_string()),
                Some(Ok(frame)) => {
                    let Ok(bytes) = frame.into_data() else {
                        continue;
                    };
                    let now = clock::now();
                    self.max_pause_ms = self.max_pause_ms.max(now.since_ms(wait_started_at));
                    self.entry
                        .with_load(&stream.upstream, |load| load.record_activity(now));
                    let Some(events) = stream.splitter.push(&bytes) else {
                        return RelayEnd::Broken("an event exceeds the size limit".to_owned());
                    };
                    let is_progress = !events.is_empty();
                    if let Some(end) = self.send_events(events).await {
                        return end;
                    }
                    if is_progress {
                        self.note_progress(now.since_ms(first_event_at), stream.sent_at);
                        event_due_at = Instant::now() + EVENT_TIMEOUT;
                    }
                }
            }
        }
        if stream.splitter.has_partial_event() {
            return RelayEnd::Broken("the stream ended within an event".to_owned());
        }
        self.entry
            .pools
            .put_back(&stream.upstream, stream.connection, stream.idle_timeout_ms);
        RelayEnd::Complete
    }

    /// Records that the upstream still writes some time after its first event.
    fn note_progress(&mut self, writing_ms: u64, sent_at: MonoMs) {
        if !self.is_sound && writing_ms >= CRASH_SUSPICION_MS {
            self.is_sound = true;
            record_success(&self.entry, &self.call, sent_at);
        }
    }

    /// Sends events to the caller. Skips those that it already has, and returns an end if
    /// an id is missing, the caller left or the deadline passed.
    async fn send_events(&mut self, events: Vec<StreamEvent>) -> Option<RelayEnd> {
        for event in events {
            if let (Some(id), Some(last_id)) = (event.id, self.last_id) {
                if id <= last_id {
                    continue;
                }
                if id > last_id + 1 {
                    return Some(RelayEnd::Broken(format!(
                        "events lost: event {id} follows {last_id}"
                    )));
                }
            }
            self.last_id = event.id.or(self.last_id);
            let sent = tokio::select! {
                sent = self.events.send(Ok(event.bytes.into())) => sent,
                () = sleep_until(self.call.deadline) => return Some(RelayEnd::DeadlinePassed),
            };
            if sent.is_err() {
                return Some(RelayEnd::CallerLeft);
            }
        }
        None
    }

    /// Logs the end of the request and updates the metrics.
    fn finish_request(&self, outcome: &'static str, chosen: &ChosenUpstream) {
        let status = http::StatusCode::OK;
        let times = ResponseTimes {
            first_event_ms: self.first_event_ms,
            max_pause_ms: self.max_pause_ms,
        };
        record_end(
            &self.call,
            outcome,
            Some(chosen),
            status,
            &self.failures.history,
            times,
        );
    }

    /// Aborts the response, so that the caller does not take it for complete.
    async fn truncate(&self, outcome: &'static str, chosen: &ChosenUpstream) {
        self.finish_request(outcome, chosen);
        // The send fails only if the caller has left.
        let _ = self.events.send(Err(Truncated)).await;
    }
}
