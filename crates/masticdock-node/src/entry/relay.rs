//! Passes the events of a stream on, and resumes it at another upstream.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use masticdock_core::serving::{AttemptOutcome, NextStep, StreamEvent};
use tokio::sync::mpsc::{Sender, channel};
use tokio::time::{Instant, sleep_until};

use super::answer::{AnswerBody, Cut, events};
use super::attempt::{OpenStream, Outcome, attempt};
use super::candidates::Chosen;
use super::connections::InUse;
use super::outcome::{Times, ended};
use super::request::{Call, Failures, place, step};
use super::state::Entry;
use crate::clock;

/// Events that wait for a caller that reads slowly.
const EVENTS_WAITING: usize = 8;
/// Pause between two events after which a stream counts as broken: several
/// times the longest pause of a full batch.
const EVENT_SILENCE: Duration = Duration::from_millis(1_200);

/// State of a stream that is passed on.
struct Relay {
    entry: Rc<Entry>,
    call: Call,
    failures: Failures,
    events: Sender<Result<Bytes, Cut>>,
    last_id: Option<u64>,
    first_ms: u64,
    /// Longest pause between two arrivals of events, in milliseconds.
    pause_ms: u64,
}

/// How passing on one upstream's events ended.
enum Passed {
    /// The stream is complete.
    Complete,
    /// The caller left.
    CallerLeft,
    /// The deadline passed.
    TooLate,
    /// The upstream broke off; the reason is for the log.
    Broken(String),
}

/// Answers with a stream whose first events have arrived.
pub(crate) fn start(
    entry: Rc<Entry>,
    call: Call,
    chosen: Chosen,
    mut stream: OpenStream,
    mut failures: Failures,
    in_use: InUse,
) -> Response<AnswerBody> {
    let (sender, receiver) = channel(EVENTS_WAITING);
    let head = std::mem::take(&mut stream.head);
    failures.made.response_started = true;
    let relay = Relay {
        first_ms: call.age_ms(),
        pause_ms: 0,
        last_id: call.head.last_event_id,
        entry,
        call,
        failures,
        events: sender,
    };
    tokio::task::spawn_local(relay.run(chosen, stream));
    events(head, receiver, in_use)
}

impl Relay {
    async fn run(mut self, mut chosen: Chosen, mut stream: OpenStream) {
        loop {
            let reason = match self.pass(stream).await {
                Passed::Complete => return self.end("answered", &chosen),
                Passed::CallerLeft => return self.end("caller_left", &chosen),
                Passed::TooLate => return self.cut("timed_out", &chosen).await,
                Passed::Broken(reason) => reason,
            };
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
                "a stream broke off"
            );
            let Some((next, resumed)) = self.resume(AttemptOutcome::Broken).await else {
                return self.cut("cut", &chosen).await;
            };
            chosen = next;
            stream = resumed;
        }
    }

    /// Continues the stream at another upstream, if the request allows it.
    async fn resume(&mut self, mut end: AttemptOutcome) -> Option<(Chosen, OpenStream)> {
        loop {
            if step(&self.entry, &self.call, &self.failures.made, end) != NextStep::Retry {
                return None;
            }
            let chosen = place(&self.entry, &self.call, &self.failures.upstreams).ok()?;
            log::info!(
                event = "stream.resuming",
                request_id = self.call.head.request_id.as_str(),
                upstream = chosen.upstream.id.as_str(),
                after_event = self.last_id.unwrap_or(0);
                "a stream is resumed at another upstream"
            );
            let attempted = attempt(&self.entry, &self.call, &chosen, self.last_id);
            let outcome = tokio::select! {
                outcome = attempted => outcome,
                () = self.events.closed() => return None,
            };
            match outcome {
                Outcome::Stream(stream) => return Some((chosen, *stream)),
                Outcome::Whole(..) => return None,
                Outcome::Failed(failed, _) => {
                    self.failures.record(&chosen.upstream.id, failed);
                    end = failed;
                }
            }
        }
    }

    async fn pass(&mut self, mut stream: OpenStream) -> Passed {
        let first = std::mem::take(&mut stream.first);
        if let Some(end) = self.send_all(first).await {
            return end;
        }
        let mut ended = stream.ended;
        while !ended {
            let asked_at = clock::now();
            let silent_at = Instant::now() + EVENT_SILENCE;
            let frame = tokio::select! {
                frame = stream.body.frame() => frame,
                () = self.events.closed() => return Passed::CallerLeft,
                () = sleep_until(self.call.deadline.min(silent_at)) => {
                    if Instant::now() >= self.call.deadline {
                        return Passed::TooLate;
                    }
                    return Passed::Broken("no event in time".to_owned());
                }
            };
            match frame {
                None => ended = true,
                Some(Err(error)) => return Passed::Broken(error.to_string()),
                Some(Ok(frame)) => {
                    let Ok(bytes) = frame.into_data() else {
                        continue;
                    };
                    let now = clock::now();
                    self.pause_ms = self.pause_ms.max(now.since_ms(asked_at));
                    self.entry
                        .with_load(&stream.upstream, |load| load.record_activity(now));
                    let Some(events) = stream.splitter.push(&bytes) else {
                        return Passed::Broken("an event is too long".to_owned());
                    };
                    if let Some(end) = self.send_all(events).await {
                        return end;
                    }
                }
            }
        }
        if stream.splitter.has_partial_event() {
            return Passed::Broken("the stream ended within an event".to_owned());
        }
        self.entry
            .pools
            .keep(&stream.upstream, stream.connection, stream.idle_timeout_ms);
        Passed::Complete
    }

    /// Sends events in the order of their ids; returns why the stream ends.
    async fn send_all(&mut self, events: Vec<StreamEvent>) -> Option<Passed> {
        for event in events {
            if let (Some(id), Some(last_id)) = (event.id, self.last_id) {
                if id <= last_id {
                    continue;
                }
                if id > last_id + 1 {
                    return Some(Passed::Broken(format!("event {id} follows {last_id}")));
                }
            }
            self.last_id = event.id.or(self.last_id);
            let sent = tokio::select! {
                sent = self.events.send(Ok(event.bytes.into())) => sent,
                () = sleep_until(self.call.deadline) => return Some(Passed::TooLate),
            };
            if sent.is_err() {
                return Some(Passed::CallerLeft);
            }
        }
        None
    }

    fn end(&self, outcome: &'static str, chosen: &Chosen) {
        let status = http::StatusCode::OK;
        let times = Times {
            first_ms: self.first_ms,
            pause_ms: self.pause_ms,
        };
        ended(
            &self.call,
            outcome,
            Some(chosen),
            status,
            &self.failures.made,
            times,
        );
    }

    /// Ends the response so that it does not look complete.
    async fn cut(&self, outcome: &'static str, chosen: &Chosen) {
        self.end(outcome, chosen);
        // A caller that left needs no sign.
        let _ = self.events.send(Err(Cut)).await;
    }
}
