//! HTTP between callers, entries and agents: headers, authentication, event streams and listeners.

mod auth;
mod event_stream;
mod headers;
mod heartbeat;
mod listener;
mod respond;

pub(crate) use auth::{MacInput, RequestAuthKey};
pub(crate) use event_stream::{
    AGENT_EVENT_BYTES_MAX, ENGINE_EVENT_BYTES_MAX, EventReader, PlainResponse, StreamEvent,
    TokenEvent,
};
pub(crate) use headers::{header_name, header_value, parse_header};
pub(crate) use heartbeat::{HeartbeatStream, Heartbeats};
pub(crate) use listener::{HandlerLimits, Listener, ReadError, read_body};
pub(crate) use respond::{EventWriter, respond, respond_problem, respond_problem_and_close};
