//! The answer to a caller: whole or as server-sent events.

use std::time::{Duration, Instant};

use masticdock_core::ids::VersionId;
use masticdock_core::problem::{Problem, ProblemKind};
use serde_json::json;
use tiny_http::Request;

use super::attempt::CallerGone;
use crate::request_http::{
    EventWriter, PlainResponse, StreamEvent, TokenEvent, header_name, respond, respond_problem,
};

enum Target {
    /// Nothing was written yet.
    Waiting(Request),
    /// The head and perhaps events were written.
    Streaming(EventWriter),
    /// The caller has its answer or went away.
    Closed,
}

/// Collects and writes the answer to one caller.
pub(super) struct Output {
    target: Target,
    stream: bool,
    request_id: String,
    arrived: Instant,
    first_byte: Option<Duration>,
    version: Option<VersionId>,
    text: String,
    /// Tokens received in order, and delivered when streaming.
    tokens: u64,
    answer: Option<PlainResponse>,
}

impl Output {
    pub(super) fn new(request: Request, stream: bool, request_id: &str, arrived: Instant) -> Self {
        Self {
            target: Target::Waiting(request),
            stream,
            request_id: request_id.to_owned(),
            arrived,
            first_byte: None,
            version: None,
            text: String::new(),
            tokens: 0,
            answer: None,
        }
    }

    /// Returns true once bytes of the answer went to the caller.
    pub(super) const fn has_begun(&self) -> bool {
        matches!(self.target, Target::Streaming(_))
    }

    /// Returns the number of tokens received in order.
    pub(super) const fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns the version that the answer is bound to.
    pub(super) const fn version(&self) -> Option<&VersionId> {
        self.version.as_ref()
    }

    /// Returns the time to the first event of the answer.
    pub(super) const fn first_byte(&self) -> Option<Duration> {
        self.first_byte
    }

    /// Drops what a failed attempt delivered, which the caller has not seen.
    pub(super) fn restart(&mut self) {
        self.version = None;
        self.text.clear();
        self.tokens = 0;
        self.answer = None;
    }

    /// Takes one event of an attempt.
    ///
    /// # Errors
    ///
    /// Fails when the caller went away.
    pub(super) fn take(
        &mut self,
        event: StreamEvent,
        version: Option<&VersionId>,
    ) -> Result<(), CallerGone> {
        match event {
            StreamEvent::Token(token) => self.take_token(token),
            StreamEvent::Response(answer) => {
                self.first_byte.get_or_insert(self.arrived.elapsed());
                self.version = version.cloned();
                self.answer = Some(answer);
                Ok(())
            }
            StreamEvent::Heartbeat => self.heartbeat(),
            StreamEvent::Problem(_) | StreamEvent::Done => Ok(()),
        }
    }

    /// Passes a sign of life on; the failed write tells that the caller is gone.
    fn heartbeat(&mut self) -> Result<(), CallerGone> {
        let Target::Streaming(writer) = &mut self.target else {
            return Ok(());
        };
        writer
            .write(&StreamEvent::Heartbeat)
            .map_err(|_| CallerGone)
    }

    fn take_token(&mut self, token: TokenEvent) -> Result<(), CallerGone> {
        self.first_byte.get_or_insert(self.arrived.elapsed());
        self.tokens += 1;
        if self.version.is_none() {
            self.version = Some(token.version.clone());
        }
        if !self.stream {
            self.text.push_str(&token.text);
            return Ok(());
        }
        self.begin()?;
        let Target::Streaming(writer) = &mut self.target else {
            return Err(CallerGone);
        };
        writer
            .write(&StreamEvent::Token(token))
            .map_err(|_| CallerGone)
    }

    fn headers(&self) -> Vec<(&'static str, String)> {
        let mut headers = vec![(header_name::REQUEST_ID, self.request_id.clone())];
        if let Some(version) = &self.version {
            headers.push((header_name::VERSION, version.to_string()));
        }
        headers
    }

    fn begin(&mut self) -> Result<(), CallerGone> {
        if self.has_begun() {
            return Ok(());
        }
        let headers = self.headers();
        let Target::Waiting(request) = std::mem::replace(&mut self.target, Target::Closed) else {
            return Err(CallerGone);
        };
        let writer = EventWriter::begin(request, &headers).map_err(|_| CallerGone)?;
        self.target = Target::Streaming(writer);
        Ok(())
    }

    /// Ends the answer as complete.
    pub(super) fn complete(mut self) {
        if self.stream && self.answer.is_none() && self.begin().is_err() {
            return;
        }
        let headers = self.headers();
        match self.target {
            Target::Streaming(writer) => {
                if let Err(error) = writer.finish(&StreamEvent::Done) {
                    log::debug!("a caller went away before the last event: {error}");
                }
            }
            Target::Waiting(request) => {
                let (status, content_type, body) = if let Some(answer) = self.answer {
                    (answer.status, answer.content_type, answer.body)
                } else {
                    let version = self.version.as_ref().map(VersionId::as_str);
                    let body =
                        json!({ "text": self.text, "version": version, "tokens": self.tokens });
                    (200, "application/json".to_owned(), body.to_string())
                };
                respond(request, status, &content_type, &headers, body.into_bytes());
            }
            Target::Closed => {}
        }
    }

    /// Ends the answer as failed.
    pub(super) fn fail(self, problem: &Problem) {
        let headers = self.headers();
        match self.target {
            Target::Streaming(writer) => {
                let event = StreamEvent::Problem(Box::new(problem.clone()));
                if let Err(error) = writer.finish(&event) {
                    log::debug!("a caller went away before the last event: {error}");
                }
            }
            // The version belongs to an answer, which a failure is not.
            Target::Waiting(request) => respond_problem(request, problem, &headers[..1]),
            Target::Closed => {}
        }
    }

    /// Returns true when a token continues the answer.
    pub(super) fn continues(&self, token: &TokenEvent) -> Result<(), Problem> {
        let same_version = self
            .version
            .as_ref()
            .is_none_or(|version| *version == token.version);
        if same_version && token.index == self.tokens {
            return Ok(());
        }
        Err(Problem::unknown(
            ProblemKind::UpstreamError,
            "the upstream sent a token of another version or out of order",
        ))
    }
}
