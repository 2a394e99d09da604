//! Handler of completion requests.

use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use serde::Deserialize;
use serde_json::json;

use super::state::Engine;
use super::{CRASH_MARK, completion_text, token_text};
use crate::http::{Call, Stream};
use crate::ledger::Outcome;

/// Default of `max_tokens`.
const MAX_TOKENS_DEFAULT: u32 = 16;

#[derive(Deserialize)]
struct CompletionRequest {
    prompt: String,
    #[serde(default = "default_max_tokens")]
    max_tokens: u32,
    #[serde(default)]
    stream: bool,
    /// Index of the first token to send, for a caller that resumes a stream.
    #[serde(default)]
    resume_from: u32,
    /// Requests with higher values leave the queue first; the header
    /// `X-Masticdock-Priority` adds to it.
    #[serde(default)]
    priority: i32,
    /// Recorded in the ledger.
    #[serde(default)]
    user: String,
}

const fn default_max_tokens() -> u32 {
    MAX_TOKENS_DEFAULT
}

/// Reason for which a run ended early.
enum StopReason {
    CallerGone,
    Engine(Outcome),
}

struct Run<'a> {
    engine: &'a Engine,
    version: String,
    epoch: u64,
    completion: CompletionRequest,
    tokens: u32,
}

pub(super) fn handle(mut call: Call, engine: &Arc<Engine>) {
    let mut completion: CompletionRequest = match call.json() {
        Ok(completion) => completion,
        Err(error) => return call.answer(400, "text/plain", error.as_bytes()),
    };
    completion.priority += match call.header("X-Masticdock-Priority").as_deref() {
        Some("high") => 1,
        Some("low") => -1,
        _ => 0,
    };
    let user = completion.user.clone();
    let (version, epoch) = {
        let held = engine.held();
        match &held.version {
            Some(version) if held.state == "ready" => (version.to_string(), held.epoch),
            _ => {
                drop(held);
                return call.answer(503, "text/plain", b"no version is loaded");
            }
        }
    };
    let (position, _) = engine
        .ledger
        .begin(&call, user, &version, completion.resume_from);
    let mut run = Run {
        engine,
        version,
        epoch,
        completion,
        tokens: 0,
    };
    let stalls = call.stalls();
    let outcome = match run.run(call, stalls) {
        Ok(()) => Outcome::Complete,
        Err(StopReason::CallerGone) => Outcome::Cancelled,
        Err(StopReason::Engine(outcome)) => outcome,
    };
    engine.ledger.end(position, outcome, run.tokens);
}

impl Run<'_> {
    fn is_current(&self) -> bool {
        self.engine.held().epoch == self.epoch
    }

    /// Returns the reason for which the engine ended the work of this epoch.
    fn stop_reason(&self) -> StopReason {
        if self.engine.held().state == "empty" {
            return StopReason::Engine(Outcome::Crashed);
        }
        StopReason::Engine(Outcome::CutByLoad)
    }

    fn run(&mut self, call: Call, stalls: bool) -> Result<(), StopReason> {
        let size = self.engine.options().batch;
        let engine = self.engine;
        let slot = engine
            .batch
            .acquire(size, self.completion.priority, &|| self.is_current());
        if slot.is_none() {
            call.break_connection();
            return Err(self.stop_reason());
        }
        if self.completion.prompt.contains(CRASH_MARK) {
            engine.crash();
            call.break_connection();
            return Err(StopReason::Engine(Outcome::Crashed));
        }
        let content_type = if self.completion.stream {
            "text/event-stream"
        } else {
            "application/json"
        };
        let mut stream = call
            .stream(content_type)
            .map_err(|_| StopReason::CallerGone)?;
        self.generate(&mut stream, stalls)?;
        if stream.is_lost() {
            return Ok(());
        }
        self.finish(stream).map_err(|_| StopReason::CallerGone)
    }

    fn generate(&mut self, stream: &mut Stream, stalls: bool) -> Result<(), StopReason> {
        let interval = Duration::from_millis(self.engine.options().token_interval_ms);
        let (first, end) = (self.completion.resume_from, self.completion.max_tokens);
        for index in first..end {
            if stalls && index == u32::midpoint(first, end) {
                stream.stall();
            }
            thread::sleep(interval);
            if !self.is_current() {
                return Err(self.stop_reason());
            }
            self.send_token(stream, index)
                .map_err(|_| StopReason::CallerGone)?;
            self.tokens += 1;
        }
        Ok(())
    }

    fn send_token(&self, stream: &mut Stream, index: u32) -> io::Result<()> {
        if !self.completion.stream {
            // Whitespace is valid before JSON; sending it detects a disconnected caller.
            return stream.send(b" ");
        }
        let event = json!({
            "index": index,
            "text": token_text(&self.version, &self.completion.prompt, index),
            "version": self.version,
        });
        stream.send(format!("data: {event}\n\n").as_bytes())
    }

    fn finish(&self, mut stream: Stream) -> io::Result<()> {
        if self.completion.stream {
            stream.send(b"data: [DONE]\n\n")?;
            return stream.finish();
        }
        let CompletionRequest {
            prompt,
            resume_from,
            max_tokens,
            ..
        } = &self.completion;
        let answer = json!({
            "text": completion_text(&self.version, prompt, *resume_from, *max_tokens),
            "version": self.version,
            "tokens": self.tokens,
        });
        stream.send(answer.to_string().as_bytes())?;
        stream.finish()
    }
}
