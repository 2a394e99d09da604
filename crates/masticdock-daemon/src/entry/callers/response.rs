//! The response to a caller, either complete or as server-sent events.

use std::time::{Duration, Instant};

use compact_str::format_compact;
use masticdock_core::ids::VersionId;
use masticdock_core::problem::{Problem, ProblemKind};
use serde_json::json;
use tiny_http::Request;

use super::attempt::CallerDisconnected;
use crate::request_http::{
    EventWriter, PlainResponse, StreamEvent, TokenEvent, header_name, respond, respond_problem,
};

/// Progress of the response to the caller.
enum ResponseState {
    /// Nothing was written yet.
    Waiting(Request),
    /// The response head, and possibly events, were written.
    Streaming(EventWriter),
    /// The response is complete or the caller disconnected.
    Closed,
}

/// Collects and writes the response to one caller.
pub(super) struct CallerResponse {
    state: ResponseState,
    wants_stream: bool,
    request_id: String,
    arrived: Instant,
    first_byte: Option<Duration>,
    version: Option<VersionId>,
    text: String,
    /// Number of tokens received in order; when streaming, they were also sent to the caller.
    tokens: u64,
    plain_response: Option<PlainResponse>,
}

impl CallerResponse {
    pub(super) fn new(
        request: Request,
        wants_stream: bool,
        request_id: &str,
        arrived: Instant,
    ) -> Self {
        Self {
            state: ResponseState::Waiting(request),
            wants_stream,
            request_id: request_id.to_owned(),
            arrived,
            first_byte: None,
            version: None,
            text: String::new(),
            tokens: 0,
            plain_response: None,
        }
    }

    /// Returns true once a part of the response was sent to the caller.
    pub(super) const fn has_begun(&self) -> bool {
        matches!(self.state, ResponseState::Streaming(_))
    }

    /// Returns the number of tokens received in order.
    pub(super) const fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns the model version of the response, once it is known.
    pub(super) const fn version(&self) -> Option<&VersionId> {
        self.version.as_ref()
    }

    /// Returns the time from the arrival of the request to the first event of the response.
    pub(super) const fn first_byte(&self) -> Option<Duration> {
        self.first_byte
    }

    /// Discards the data of a failed attempt, none of which was sent to the caller.
    pub(super) fn reset(&mut self) {
        self.version = None;
        self.text.clear();
        self.tokens = 0;
        self.plain_response = None;
    }

    /// Processes one event of an attempt.
    ///
    /// # Errors
    ///
    /// Returns an error when the caller disconnected.
    pub(super) fn handle_event(
        &mut self,
        event: StreamEvent,
        version: Option<&VersionId>,
    ) -> Result<(), CallerDisconnected> {
        match event {
            StreamEvent::Token(token) => self.handle_token(token),
            StreamEvent::Response(plain_response) => {
                self.first_byte.get_or_insert(self.arrived.elapsed());
                self.version = version.cloned();
                self.plain_response = Some(plain_response);
                Ok(())
            }
            StreamEvent::Heartbeat => self.forward_heartbeat(),
            StreamEvent::Problem(_) | StreamEvent::Done => Ok(()),
        }
    }

    /// Forwards a heartbeat; a failed write reveals that the caller disconnected.
    pub(super) fn forward_heartbeat(&mut self) -> Result<(), CallerDisconnected> {
        let ResponseState::Streaming(writer) = &mut self.state else {
            return Ok(());
        };
        writer
            .write(&StreamEvent::Heartbeat)
            .map_err(|_| CallerDisconnected)
    }

    fn handle_token(&mut self, token: TokenEvent) -> Result<(), CallerDisconnected> {
        self.first_byte.get_or_insert(self.arrived.elapsed());
        self.tokens += 1;
        if self.version.is_none() {
            self.version = Some(token.version.clone());
        }
        if !self.wants_stream {
            self.text.push_str(&token.text);
            return Ok(());
        }
        self.begin()?;
        let ResponseState::Streaming(writer) = &mut self.state else {
            return Err(CallerDisconnected);
        };
        writer
            .write(&StreamEvent::Token(token))
            .map_err(|_| CallerDisconnected)
    }

    fn headers(&self) -> Vec<(&'static str, String)> {
        let mut headers = vec![(header_name::REQUEST_ID, self.request_id.clone())];
        if let Some(version) = &self.version {
            headers.push((header_name::VERSION, version.to_string()));
        }
        headers
    }

    /// Writes the response head of a stream unless it was written already.
    fn begin(&mut self) -> Result<(), CallerDisconnected> {
        if self.has_begun() {
            return Ok(());
        }
        let headers = self.headers();
        let ResponseState::Waiting(request) =
            std::mem::replace(&mut self.state, ResponseState::Closed)
        else {
            return Err(CallerDisconnected);
        };
        let writer = EventWriter::begin(request, &headers).map_err(|_| CallerDisconnected)?;
        self.state = ResponseState::Streaming(writer);
        Ok(())
    }

    /// Completes the response.
    pub(super) fn complete(mut self) {
        if self.wants_stream && self.plain_response.is_none() && self.begin().is_err() {
            return;
        }
        let headers = self.headers();
        match self.state {
            ResponseState::Streaming(writer) => {
                if let Err(error) = writer.finish(&StreamEvent::Done) {
                    log::debug!("caller disconnected before the last event: {error}");
                }
            }
            ResponseState::Waiting(request) => {
                let (status, content_type, body) = if let Some(plain_response) = self.plain_response
                {
                    (
                        plain_response.status,
                        plain_response.content_type,
                        plain_response.body,
                    )
                } else {
                    let version = self.version.as_ref().map(VersionId::as_str);
                    let body =
                        json!({ "text": self.text, "version": version, "tokens": self.tokens });
                    (200, "application/json".to_owned(), body.to_string())
                };
                respond(request, status, &content_type, &headers, body.into_bytes());
            }
            ResponseState::Closed => {}
        }
    }

    /// Ends the response with a problem.
    pub(super) fn fail(self, problem: &Problem) {
        let headers = self.headers();
        match self.state {
            ResponseState::Streaming(writer) => {
                let event = StreamEvent::Problem(Box::new(problem.clone()));
                if let Err(error) = writer.finish(&event) {
                    log::debug!("caller disconnected before the last event: {error}");
                }
            }
            // Only the request id is sent: the version header belongs to successful responses.
            ResponseState::Waiting(request) => respond_problem(request, problem, &headers[..1]),
            ResponseState::Closed => {}
        }
    }

    /// Checks that an event continues the response: a token has to be the next one of the same
    /// version, and a whole answer must not follow tokens that were sent to the caller.
    ///
    /// # Errors
    ///
    /// Returns a problem when the event does not continue the response.
    pub(super) fn check_continues(&self, event: &StreamEvent) -> Result<(), Problem> {
        let detail = match event {
            StreamEvent::Token(token) => {
                let version = self.version.as_ref().unwrap_or(&token.version);
                if *version == token.version && token.index == self.tokens {
                    return Ok(());
                }
                "a token of another version or out of order"
            }
            StreamEvent::Response(_) if self.has_begun() => {
                "a whole answer instead of the next tokens"
            }
            _ => return Ok(()),
        };
        Err(Problem::unknown(
            ProblemKind::UpstreamError,
            format_compact!("the upstream sent {detail}"),
        ))
    }
}
