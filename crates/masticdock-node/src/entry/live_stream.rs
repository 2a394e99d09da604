//! Stream of one upstream: reads its events and notices when it is silent.

use std::rc::Rc;
use std::time::Duration;

use http_body_util::BodyExt;
use masticdock_adapter::BodyEnd;
use masticdock_core::serving::{
    AttemptOutcome, CRASH_SUSPICION_MS, EventOrderError, EventSequence, StreamEvent,
    StreamProgress, StreamProgressSettings,
};
use masticdock_core::units::MonoMs;
use tokio::time::sleep;

use super::attempt::{AttemptResult, OpenStream};
use super::attempt_race::{EndedAttempt, SharedFailures, run_attempts};
use super::candidates::ChosenUpstream;
use super::crashes::{record_success, report_suspects};
use super::request::Call;
use super::response_end::{is_replaced, outlives_response};
use super::state::Entry;
use crate::clock;

/// Reason of a stream that ends although events follow.
pub(super) const ENDED_EARLY: &str = "the stream ended before events that exist";

/// What the stream of an upstream delivers next.
#[derive(Debug)]
pub(super) enum StreamStep {
    Events(Vec<StreamEvent>),
    /// The stream has ended after a whole event.
    Complete,
    /// The stream is incomplete or invalid; the text is logged as the reason.
    Broken(String),
    /// Nothing has arrived for this time, in milliseconds.
    Silent(u64),
}

/// Result of an attempt to resume a stream.
pub(super) enum Resumed {
    /// The stream continues here.
    Stream(Box<LiveStream>),
    /// All attempts failed.
    Failed,
    /// The stream broke before the next event, of which it may have sent a part.
    Broken { next_has_begun: bool },
}

/// Stream of an upstream that is being read.
pub(super) struct LiveStream {
    pub(super) chosen: ChosenUpstream,
    entry: Rc<Entry>,
    stream: OpenStream,
    progress: StreamProgress,
    opened_at: MonoMs,
    /// True once the upstream wrote for so long that the request cannot crash it.
    is_sound: bool,
    /// True once the upstream was found alive after a stream that ended with its connection.
    is_end_confirmed: bool,
    /// Last logged decision on the present silence.
    pub(super) silence_decision: Option<&'static str>,
    /// True once the attempt counts as failed because the stream was silent.
    pub(super) is_recorded: bool,
}

impl LiveStream {
    pub(super) fn new(entry: Rc<Entry>, chosen: ChosenUpstream, stream: OpenStream) -> Self {
        let now = clock::now();
        Self {
            chosen,
            entry,
            stream,
            progress: StreamProgress::new(StreamProgressSettings::default(), now),
            opened_at: now,
            is_sound: false,
            is_end_confirmed: false,
            silence_decision: None,
            is_recorded: false,
        }
    }

    /// Waits for the next events, the end of the stream or its silence. Events that were read
    /// are not lost if the wait is cancelled.
    pub(super) async fn next(&mut self) -> StreamStep {
        let settings = StreamProgressSettings::default();
        let check_interval = Duration::from_millis(settings.check_interval_ms);
        loop {
            if !self.stream.first_events.is_empty() {
                return StreamStep::Events(std::mem::take(&mut self.stream.first_events));
            }
            if self.stream.ended {
                if self.stream.splitter.has_partial_event() {
                    return StreamStep::Broken("the stream ended within an event".to_owned());
                }
                if self.has_crashed_at_end().await {
                    return StreamStep::Broken("the upstream ended".to_owned());
                }
                return StreamStep::Complete;
            }
            let frame = tokio::select! {
                biased;
                frame = self.stream.body.frame() => frame,
                () = sleep(check_interval) => {
                    let Some(silent_ms) = self.progress.check(clock::now()) else {
                        continue;
                    };
                    if is_replaced(&self.entry, &self.chosen.upstream) {
                        return StreamStep::Broken("the upstream was restarted".to_owned());
                    }
                    return StreamStep::Silent(silent_ms);
                }
            };
            let bytes = match frame {
                None => {
                    self.stream.ended = true;
                    continue;
                }
                Some(Err(error)) => return StreamStep::Broken(error.to_string()),
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            if bytes.is_empty() {
                continue;
            }
            let now = clock::now();
            self.entry
                .with_load(&self.stream.upstream, |load| load.record_activity(now));
            let Some(events) = self.stream.splitter.push(&bytes) else {
                return StreamStep::Broken("an event exceeds the size limit".to_owned());
            };
            if !self.progress.record_bytes(!events.is_empty(), now) {
                return StreamStep::Broken("no event within the timeout".to_owned());
            }
            self.stream.first_events = events;
        }
    }

    /// Returns whether the end of the stream may be that of the upstream's process: nothing
    /// else marks the end of a body that ends with its connection.
    async fn has_crashed_at_end(&mut self) -> bool {
        if self.stream.body_end == BodyEnd::Marked || self.is_end_confirmed {
            return false;
        }
        let (upstream, sent_at) = (&self.chosen.upstream, self.stream.sent_at);
        self.is_end_confirmed = outlives_response(&self.entry, upstream, sent_at).await;
        !self.is_end_confirmed
    }

    /// Returns whether a part of an event has arrived after the events read so far.
    pub(super) fn has_partial_event(&self) -> bool {
        self.stream.splitter.has_partial_event()
    }

    /// Returns whether the stream has ended without further events.
    pub(super) fn is_over(&self) -> bool {
        self.stream.ended && self.stream.first_events.is_empty()
    }

    /// Records that the events read so far were relayed.
    pub(super) fn record_relayed(&mut self, call: &Call) {
        let now = clock::now();
        self.progress.restart(now);
        self.silence_decision = None;
        if !self.is_sound && now.since_ms(self.opened_at) >= CRASH_SUSPICION_MS {
            self.is_sound = true;
            record_success(&self.entry, call, self.stream.sent_at);
        }
    }

    /// Records the end of a complete stream and keeps its connection.
    pub(super) fn finish(self, call: &Call) {
        match self.stream.body_end {
            BodyEnd::Marked if self.is_sound => {}
            BodyEnd::Marked => record_success(&self.entry, call, self.stream.sent_at),
            BodyEnd::WithConnection => self.report_unless_sound(call),
        }
        let OpenStream {
            upstream,
            connection,
            idle_timeout_ms,
            ..
        } = self.stream;
        self.entry
            .pools
            .put_back(&upstream, connection, idle_timeout_ms);
    }

    /// Records that the stream broke after the event `last_id`.
    pub(super) fn record_broken(&self, call: &Call, last_id: Option<u64>, reason: &str) {
        self.report_unless_sound(call);
        let id = &self.chosen.upstream.id;
        self.entry
            .with_load(id, |load| load.record_error(clock::now()));
        log::warn!(
            event = "stream.broken",
            request_id = call.head.request_id.as_str(),
            upstream = id.as_str(),
            last_event = last_id.unwrap_or(0),
            reason = reason;
            "a stream broke before its end"
        );
    }

    /// Reports the request as the possible cause of a crash, unless the upstream has written
    /// for longer than such a request lets it.
    fn report_unless_sound(&self, call: &Call) {
        if !self.is_sound {
            report_suspects(&self.entry, call, &self.chosen.upstream);
        }
    }
}

/// Resumes a stream after the last event of `sequence`; returns once the next one follows, or
/// the stream ends.
pub(super) async fn resume_stream(
    entry: Rc<Entry>,
    call: Rc<Call>,
    chosen: ChosenUpstream,
    failures: SharedFailures,
    mut sequence: EventSequence,
) -> Resumed {
    let last_id = sequence.last_id();
    let EndedAttempt {
        chosen,
        result,
        record,
    } = run_attempts(&entry, &call, chosen, &failures, last_id).await;
    let AttemptResult::Stream(stream) = result else {
        return Resumed::Failed;
    };
    let mut live = LiveStream::new(entry, chosen, *stream);
    sequence.begin_upstream();
    let reason = loop {
        match live.next().await {
            StreamStep::Events(events) => match append_all(&mut sequence, &events) {
                Ok(false) => {}
                Ok(true) => {
                    live.stream.first_events = events;
                    live.is_recorded = record.accept();
                    return Resumed::Stream(Box::new(live));
                }
                Err(error) => break error.to_string(),
            },
            StreamStep::Complete if sequence.may_end() => {
                live.is_recorded = record.accept();
                return Resumed::Stream(Box::new(live));
            }
            StreamStep::Complete => break ENDED_EARLY.to_owned(),
            StreamStep::Broken(reason) => break reason,
            StreamStep::Silent(_) => {}
        }
    };
    live.record_broken(&call, last_id, &reason);
    record.fail(AttemptOutcome::Broken);
    Resumed::Broken {
        next_has_begun: live.has_partial_event(),
    }
}

/// Appends events; returns whether the sequence did not contain all of them.
fn append_all(
    sequence: &mut EventSequence,
    events: &[StreamEvent],
) -> Result<bool, EventOrderError> {
    let mut has_new = false;
    for event in events {
        has_new |= sequence.append(event)?;
    }
    Ok(has_new)
}
