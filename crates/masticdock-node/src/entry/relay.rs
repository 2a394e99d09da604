//! Relays the events of a stream to the caller, and resumes it at another upstream when it
//! breaks.
//!
//! A silent stream is resumed as well where that is possible, but it is kept: its upstream
//! may be sound and go on. The stream that delivers the next event first is relayed, and the
//! other one is closed.

use std::future::pending;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use masticdock_core::ids::UpstreamId;
use masticdock_core::serving::{AttemptOutcome, EventSequence, StreamEvent};
use masticdock_core::units::MonoMs;
use tokio::sync::mpsc::{Sender, channel};
use tokio::time::{sleep, sleep_until};

use super::answer::{CallerResponseBody, Truncated, event_stream};
use super::attempt::OpenStream;
use super::attempt_race::SharedFailures;
use super::candidates::ChosenUpstream;
use super::connections::InUseGuard;
use super::event_queue::{EVENT_QUEUE_LENGTH, queue_event};
use super::live_stream::{ENDED_EARLY, LiveStream, Resumed, StreamStep, resume_stream};
use super::outcome::{ResponseTimes, record_end};
use super::request::Call;
use super::retry::{RetryPlan, plan_retry};
use super::state::Entry;
use crate::clock;

/// Pause before a broken stream that no upstream can take at the moment is tried again.
const RESUME_PAUSE: Duration = Duration::from_millis(100);

/// State of a stream that is relayed to a caller.
struct Relay {
    entry: Rc<Entry>,
    call: Rc<Call>,
    failures: SharedFailures,
    events: Sender<Result<Bytes, Truncated>>,
    /// Stream that is relayed; `None` after it broke.
    current: Option<LiveStream>,
    /// Resumed stream that may replace the current one.
    standby: Option<Standby>,
    /// Upstream of the latest stream that was relayed.
    chosen: ChosenUpstream,
    /// Last logged reason why a broken stream cannot be resumed at the moment.
    resume_delay: Option<&'static str>,
    sequence: EventSequence,
    last_event_at: MonoMs,
    first_event_ms: u64,
    /// Longest pause between arrivals of events, in milliseconds.
    max_pause_ms: u64,
}

/// Stream that is being resumed at another upstream.
struct Standby {
    upstream: UpstreamId,
    attempt: Pin<Box<dyn Future<Output = Resumed>>>,
}

/// What a relay waits for.
enum Step {
    Current(StreamStep),
    Standby(Resumed),
    /// A broken stream can be tried again.
    ResumeDue,
    End(RelayEnd),
}

/// How a relay ended.
enum RelayEnd {
    /// The stream is complete.
    Complete,
    /// The caller closed the connection.
    CallerLeft,
    /// The deadline passed.
    DeadlinePassed,
    /// The stream broke and cannot be resumed.
    Cut,
}

/// Starts to relay a stream whose first events have arrived, and returns its response.
/// `is_recorded` is true if its attempt counts as failed, because it was silent.
pub(crate) fn start(
    entry: Rc<Entry>,
    call: Call,
    chosen: ChosenUpstream,
    mut stream: OpenStream,
    is_recorded: bool,
    failures: SharedFailures,
    in_use: InUseGuard,
) -> Response<CallerResponseBody> {
    let (sender, receiver) = channel(EVENT_QUEUE_LENGTH);
    let head = std::mem::take(&mut stream.head);
    failures.borrow_mut().history.response_started = true;
    let mut current = LiveStream::new(Rc::clone(&entry), chosen.clone(), stream);
    current.is_recorded = is_recorded;
    let relay = Relay {
        first_event_ms: call.age_ms(),
        max_pause_ms: 0,
        sequence: EventSequence::after(call.head.last_event_id),
        last_event_at: clock::now(),
        current: Some(current),
        standby: None,
        resume_delay: None,
        chosen,
        entry,
        call: Rc::new(call),
        failures,
        events: sender,
    };
    tokio::task::spawn_local(relay.run());
    event_stream(head, receiver, in_use)
}

impl Relay {
    async fn run(mut self) {
        loop {
            let end = match self.next_step().await {
                Step::Current(StreamStep::Events(events)) => self.relay_events(events).await,
                Step::Current(StreamStep::Complete) if self.sequence.may_end() => {
                    Some(RelayEnd::Complete)
                }
                Step::Current(StreamStep::Complete) => self.replace_broken(ENDED_EARLY),
                Step::Current(StreamStep::Broken(reason)) => self.replace_broken(&reason),
                Step::Current(StreamStep::Silent(silent_ms)) => {
                    self.resume_silent(silent_ms);
                    None
                }
                Step::Standby(resumed) => self.end_standby(resumed),
                Step::ResumeDue => self.resume_broken(),
                Step::End(end) => Some(end),
            };
            let Some(end) = end else {
                continue;
            };
            return match end {
                RelayEnd::Complete => {
                    if let Some(current) = self.current.take() {
                        current.finish(&self.call);
                    }
                    self.finish_request("answered");
                }
                RelayEnd::CallerLeft => self.finish_request("caller_left"),
                RelayEnd::DeadlinePassed => self.truncate("timed_out").await,
                RelayEnd::Cut => self.truncate("cut").await,
            };
        }
    }

    async fn next_step(&mut self) -> Step {
        let is_waiting = self.current.is_none() && self.standby.is_none();
        let next = async {
            match &mut self.current {
                Some(current) => current.next().await,
                None => pending().await,
            }
        };
        let resumed = async {
            match &mut self.standby {
                Some(standby) => standby.attempt.as_mut().await,
                None => pending().await,
            }
        };
        tokio::select! {
            biased;
            () = self.events.closed() => Step::End(RelayEnd::CallerLeft),
            () = sleep_until(self.call.deadline) => Step::End(RelayEnd::DeadlinePassed),
            step = next => Step::Current(step),
            resumed = resumed => Step::Standby(resumed),
            () = sleep(RESUME_PAUSE), if is_waiting => Step::ResumeDue,
        }
    }

    /// Sends events of the current stream to the caller, without those that it already has.
    async fn relay_events(&mut self, events: Vec<StreamEvent>) -> Option<RelayEnd> {
        let now = clock::now();
        for event in events {
            match self.sequence.append(&event) {
                Ok(true) => {}
                Ok(false) => continue,
                Err(error) => return self.replace_broken(&error.to_string()),
            }
            self.discard_standby();
            let sent = tokio::select! {
                sent = queue_event(&self.entry, &self.events, event.bytes) => sent,
                () = sleep_until(self.call.deadline) => return Some(RelayEnd::DeadlinePassed),
            };
            if !sent {
                return Some(RelayEnd::CallerLeft);
            }
        }
        let pause_ms = now.since_ms(self.last_event_at);
        self.max_pause_ms = self.max_pause_ms.max(pause_ms);
        self.last_event_at = clock::now();
        if let Some(current) = &mut self.current {
            current.record_relayed(&self.call);
        }
        None
    }

    /// Closes the current stream, which is broken; returns an end if nothing can replace it.
    fn replace_broken(&mut self, reason: &str) -> Option<RelayEnd> {
        let broken = self.current.take()?;
        broken.record_broken(&self.call, self.sequence.last_id(), reason);
        if broken.has_partial_event() {
            self.sequence.record_partial_event();
        }
        if !broken.is_recorded {
            self.failures
                .borrow_mut()
                .record(&self.chosen.upstream.id, AttemptOutcome::Broken);
        }
        if self.standby.is_some() {
            return None;
        }
        self.resume_broken()
    }

    /// Resumes a stream that broke, now or later; returns an end if that is not possible.
    fn resume_broken(&mut self) -> Option<RelayEnd> {
        let failures = self.failures.borrow().clone();
        match plan_retry(&self.entry, &self.call, &failures) {
            RetryPlan::Send(chosen) => {
                self.open_standby(*chosen);
                None
            }
            RetryPlan::Later(reason) => {
                self.log_delay(reason);
                None
            }
            RetryPlan::Never(_) => Some(RelayEnd::Cut),
        }
    }

    /// Resumes a silent stream if that is possible at the moment, and keeps it.
    fn resume_silent(&mut self, silent_ms: u64) {
        let Some(current) = &mut self.current else {
            return;
        };
        let id = &self.chosen.upstream.id;
        self.entry
            .with_load(id, |load| load.record_silence(silent_ms, clock::now()));
        if self.standby.is_some() {
            return;
        }
        let failures = if current.is_recorded {
            self.failures.borrow().clone()
        } else {
            self.failures.borrow().with_silent(id)
        };
        let plan = plan_retry(&self.entry, &self.call, &failures);
        let decision = match &plan {
            RetryPlan::Send(_) => "resumed",
            RetryPlan::Later(reason) | RetryPlan::Never(reason) => reason,
        };
        if current.silence_decision.replace(decision) != Some(decision) {
            log::warn!(
                event = "stream.silent",
                request_id = self.call.head.request_id.as_str(),
                upstream = id.as_str(),
                last_event = self.sequence.last_id().unwrap_or(0),
                silent_ms = silent_ms,
                decision = decision;
                "a stream is silent and is kept open"
            );
        }
        if let RetryPlan::Send(chosen) = plan {
            if !current.is_recorded {
                current.is_recorded = true;
                self.failures
                    .borrow_mut()
                    .record(id, AttemptOutcome::Silent);
            }
            self.open_standby(*chosen);
        }
    }

    /// Begins to resume the stream at another upstream.
    fn open_standby(&mut self, chosen: ChosenUpstream) {
        log::info!(
            event = "stream.resuming",
            request_id = self.call.head.request_id.as_str(),
            upstream = chosen.upstream.id.as_str(),
            after_event = self.sequence.last_id().unwrap_or(0);
            "a stream is resumed at another upstream"
        );
        self.standby = Some(Standby {
            upstream: chosen.upstream.id.clone(),
            attempt: Box::pin(resume_stream(
                Rc::clone(&self.entry),
                Rc::clone(&self.call),
                chosen,
                Rc::clone(&self.failures),
                self.sequence,
            )),
        });
    }

    /// Relays a resumed stream from now on, or keeps the current one if the attempt failed;
    /// returns an end if neither is possible.
    fn end_standby(&mut self, resumed: Resumed) -> Option<RelayEnd> {
        self.standby = None;
        match resumed {
            // A stream that ends at once does not show that the silent one is complete.
            Resumed::Stream(stream) if self.current.is_some() && stream.is_over() => {
                if !stream.is_recorded {
                    let id = &stream.chosen.upstream.id;
                    let mut failures = self.failures.borrow_mut();
                    failures.record(id, AttemptOutcome::Discarded);
                }
            }
            Resumed::Stream(stream) => {
                self.chosen = stream.chosen.clone();
                self.resume_delay = None;
                log::info!(
                    event = "stream.resumed",
                    request_id = self.call.head.request_id.as_str(),
                    upstream = self.chosen.upstream.id.as_str(),
                    after_event = self.sequence.last_id().unwrap_or(0),
                    was_silent = self.current.is_some();
                    "a resumed stream is relayed"
                );
                self.sequence.begin_upstream();
                self.current = Some(*stream);
                return None;
            }
            Resumed::Failed => {}
            Resumed::Broken { next_has_begun } => {
                if next_has_begun {
                    self.sequence.record_partial_event();
                }
            }
        }
        if self.current.is_some() {
            return None;
        }
        self.resume_broken()
    }

    /// Closes the resumed stream because the silent one goes on.
    fn discard_standby(&mut self) {
        let Some(standby) = self.standby.take() else {
            return;
        };
        log::info!(
            event = "stream.continued",
            request_id = self.call.head.request_id.as_str(),
            upstream = self.chosen.upstream.id.as_str(),
            discarded = standby.upstream.as_str(),
            last_event = self.sequence.last_id().unwrap_or(0);
            "a silent stream goes on"
        );
    }

    /// Logs why a broken stream waits, unless the reason is that of the previous try.
    fn log_delay(&mut self, reason: &'static str) {
        if self.resume_delay.replace(reason) == Some(reason) {
            return;
        }
        log::warn!(
            event = "stream.waiting",
            request_id = self.call.head.request_id.as_str(),
            after_event = self.sequence.last_id().unwrap_or(0),
            reason = reason,
            left_ms = self.call.time_left_ms();
            "a broken stream cannot be resumed at the moment"
        );
    }

    /// Logs the end of the request and updates the metrics.
    fn finish_request(&self, outcome: &'static str) {
        let status = http::StatusCode::OK;
        let times = ResponseTimes {
            first_event_ms: self.first_event_ms,
            max_pause_ms: self.max_pause_ms,
        };
        record_end(
            &self.call,
            outcome,
            Some(&self.chosen),
            status,
            &self.failures.borrow().history,
            times,
        );
    }

    /// Aborts the response, so that the caller does not take it for complete.
    async fn truncate(&mut self, outcome: &'static str) {
        self.current = None;
        self.standby = None;
        self.finish_request(outcome);
        // The send fails only if the caller has left.
        let _ = self.events.send(Err(Truncated)).await;
    }
}
