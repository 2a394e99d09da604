//! HTTP between callers, entries and agents: headers, event streams, listeners.

mod auth;
mod event_stream;
mod headers;
mod heartbeat;
mod listener;
mod respond;

pub(crate) use auth::{MacInput, PeerKey};
pub(crate) use event_stream::{EventReader, StreamEvent, TokenEvent, WholeAnswer};
pub(crate) use headers::{name, value, value_as};
pub(crate) use heartbeat::{Heartbeats, LiveStream};
pub(crate) use listener::{HandlerLimits, Listener, ReadError, read_body};
pub(crate) use respond::{EventWriter, respond, respond_problem};
