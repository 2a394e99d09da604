//! Model engine with load orders, a status and deterministic completions.
//!
//! | request | effect |
//! |---|---|
//! | `GET /status` | returns the status; its load counts are `report_lag_ms` old |
//! | `POST /orders/load` | loads a version in the background |
//! | `POST /v1/completions` | runs a prompt; the text is that of [`token_text`] |
//! | `GET /ledger` | returns the [`crate::LedgerPage`] of all runs |
//! | `POST /options` | replaces the [`EngineOptions`] |
//! | `POST /crash` | crashes the engine, like a prompt with `CRASH` |

mod batch;
mod complete;
mod load;
mod state;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::Running;
use crate::faults::FaultControl;
use crate::http::{self, Call};
use state::Engine;

/// Text in a prompt that crashes the engine.
pub const CRASH_MARK: &str = "CRASH";

/// Options for the behaviour of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, clap::Args)]
#[serde(deny_unknown_fields, default)]
pub struct EngineOptions {
    /// Rejects load orders whose fencing number is below the highest one seen.
    #[arg(long)]
    pub fence_checked: bool,
    /// Accepts weights that do not match the root digest of the order.
    #[arg(long)]
    pub root_unchecked: bool,
    /// Duration of a load after the weights were read, in milliseconds.
    #[arg(long, default_value_t = 50)]
    pub load_ms: u64,
    /// Interval between two tokens, in milliseconds.
    #[arg(long, default_value_t = 5)]
    pub token_interval_ms: u64,
    /// Maximum number of concurrent requests; others wait, ordered by `priority`.
    #[arg(long, default_value_t = 16)]
    pub batch: u32,
    /// Age of the load counts in the status, in milliseconds.
    #[arg(long, default_value_t = 200)]
    pub report_lag_ms: u64,
    /// Delay after a crash until the engine restarts without a version, in milliseconds.
    #[arg(long, default_value_t = 500)]
    pub restart_ms: u64,
    /// Versions that the engine fails to load.
    #[arg(long)]
    pub bad_versions: Vec<String>,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            fence_checked: false,
            root_unchecked: false,
            load_ms: 50,
            token_interval_ms: 5,
            batch: 16,
            report_lag_ms: 200,
            restart_ms: 500,
            bad_versions: Vec::new(),
        }
    }
}

/// Returns the text of one token; it depends on the arguments alone, so tests can
/// compute the expected text.
#[must_use]
pub fn token_text(version: &str, prompt: &str, index: u32) -> String {
    let mut hasher = blake3::Hasher::new();
    for part in [version, prompt] {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    hasher.update(&index.to_le_bytes());
    format!(" {}", &hasher.finalize().to_hex()[..6])
}

/// Returns the text of the tokens from `resume_from` to `max_tokens`, exclusive.
#[must_use]
pub fn completion_text(version: &str, prompt: &str, resume_from: u32, max_tokens: u32) -> String {
    (resume_from..max_tokens)
        .map(|index| token_text(version, prompt, index))
        .collect()
}

/// Starts an engine.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn spawn(addr: SocketAddr, options: EngineOptions) -> io::Result<Running> {
    let faults = Arc::new(FaultControl::default());
    let listener = http::bind(addr)?;
    let addr = listener.local_addr()?;
    let engine = Arc::new(Engine::new(options));
    let running = Running {
        addr,
        faults: Arc::clone(&faults),
    };
    thread::spawn(move || {
        let handler: http::Handler = {
            let engine = Arc::clone(&engine);
            Arc::new(move |call| handle(call, &engine))
        };
        let mut listener = Some(listener);
        loop {
            if let Some(listener) = listener.take() {
                http::serve_while(listener, &faults, &handler, &|| !engine.is_down());
                thread::sleep(Duration::from_millis(engine.options().restart_ms));
            }
            match http::bind(addr) {
                Ok(bound) => {
                    engine.restart();
                    listener = Some(bound);
                }
                Err(error) => {
                    log::warn!("cannot rebind {addr}: {error}");
                    thread::sleep(Duration::from_millis(20));
                }
            }
        }
    });
    Ok(running)
}

fn handle(mut call: Call, engine: &Arc<Engine>) {
    if engine.is_down() {
        return call.break_connection();
    }
    match (call.method.as_str(), call.path.as_str()) {
        ("GET", "/status") => call.answer_json(200, &engine.status()),
        ("POST", "/orders/load") => load::handle(call, engine),
        ("POST", "/v1/completions") => complete::handle(call, engine),
        ("GET", "/ledger") => call.answer_json(200, &engine.ledger.page()),
        ("POST", "/options") => match call.json() {
            Ok(options) => {
                engine.set_options(options);
                call.answer(200, "text/plain", b"");
            }
            Err(error) => call.answer(400, "text/plain", error.as_bytes()),
        },
        ("POST", "/crash") => {
            engine.crash();
            call.answer(200, "text/plain", b"");
        }
        _ => call.answer(404, "text/plain", b"no such path"),
    }
}
