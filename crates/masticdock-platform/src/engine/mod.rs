//! Client of a model engine, which is called over loopback HTTP.

use std::io::{self, Read as _};

use attohttpc::Response;
use compact_str::CompactString;
use masticdock_core::ids::{AdapterId, Digest, Fence, VersionId};
use masticdock_core::units::ByteCount;
use serde::{Deserialize, Serialize};

use crate::http::{HttpSettings, PlatformError, PlatformErrorKind, prepare};

/// Maximum size of a response of an engine, in bytes.
const TEXT_BYTES_MAX: u64 = 64 << 10;

/// Current state of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineState {
    /// Holds no version.
    Empty,
    /// Is reading and loading a version.
    Loading,
    /// Serves the loaded version.
    Ready,
    /// The last load failed; [`EngineStatus::reason`] tells why.
    Failed,
}

/// Status that an engine reports. The numbers of requests can be out of date.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Id of the engine's run, different after each start.
    pub boot: CompactString,
    /// Current state.
    pub state: EngineState,
    /// Version that is loaded or being loaded.
    #[serde(default)]
    pub version: Option<VersionId>,
    /// Root digest that the engine computed of the loaded version.
    #[serde(default)]
    pub root: Option<Digest>,
    /// Loaded adapters, each with the root digest that the engine computed.
    #[serde(default)]
    pub adapters: Vec<(AdapterId, Digest)>,
    /// Highest fencing number received; 0 for engines that ignore fencing numbers.
    #[serde(default)]
    pub fence: Fence,
    /// Number of requests in progress.
    #[serde(default)]
    pub in_progress: u32,
    /// Number of waiting requests.
    #[serde(default)]
    pub queued: u32,
    /// Reason why the last load failed.
    #[serde(default)]
    pub reason: CompactString,
}

/// Adapter in a [`LoadOrder`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadOrderAdapter {
    /// Id of the adapter.
    pub name: AdapterId,
    /// Loopback URL of its weights.
    pub weights_url: String,
    /// Root digest that the weights must have.
    pub root: Digest,
    /// Size of the weights.
    pub size_bytes: ByteCount,
}

/// Order to load a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadOrder {
    /// Fencing number. Engines that check it reject orders with a lower number than
    /// the highest one received.
    pub fence: Fence,
    /// Version to load.
    pub version: VersionId,
    /// Loopback URL of the weights.
    pub weights_url: String,
    /// Root digest that the weights must have.
    pub root: Digest,
    /// Size of the weights.
    pub size_bytes: ByteCount,
    /// Adapters to load with the version.
    #[serde(default)]
    pub adapters: Vec<LoadOrderAdapter>,
}

/// Client of an engine.
#[derive(Debug, Clone)]
pub struct EngineClient {
    url: String,
    http: HttpSettings,
}

impl EngineClient {
    /// Creates a client without sending a request.
    #[must_use]
    pub fn new(url: impl Into<String>, http: HttpSettings) -> Self {
        Self {
            url: url.into(),
            http,
        }
    }

    /// Reads the status of the engine.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine does not answer or its status cannot be
    /// decoded.
    pub fn status(&self) -> Result<EngineStatus, PlatformError> {
        const CALL: &str = "engine status";
        let from_http = |error: attohttpc::Error| PlatformError::from_http(CALL, &error);
        let response = prepare(attohttpc::get(format!("{}/status", self.url)), self.http)
            .send()
            .map_err(from_http)?;
        let status = response.status().as_u16();
        let text = read_text(response).map_err(|error| {
            PlatformError::new(PlatformErrorKind::OutcomeUnknown, CALL, error.to_string())
        })?;
        if status != 200 {
            return Err(PlatformError::from_status(CALL, status, &text));
        }
        serde_json::from_str(&text).map_err(|error| {
            PlatformError::new(PlatformErrorKind::Malformed, CALL, error.to_string())
        })
    }

    /// Sends a load order. The engine loads in the background and reports the result
    /// in its status.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails. The kind `Rejected` means that the engine
    /// has received a higher fencing number.
    pub fn load(&self, order: &LoadOrder) -> Result<(), PlatformError> {
        const CALL: &str = "engine load order";
        let from_http = |error: attohttpc::Error| PlatformError::from_http(CALL, &error);
        let response = prepare(
            attohttpc::post(format!("{}/orders/load", self.url)),
            self.http,
        )
        .json(order)
        .map_err(from_http)?
        .send()
        .map_err(from_http)?;
        let status = response.status().as_u16();
        if status == 202 {
            return Ok(());
        }
        let text = read_text(response).unwrap_or_default();
        Err(PlatformError::from_status(CALL, status, &text))
    }
}

/// Reads the text of a response; fails if it is longer than the limit.
fn read_text(response: Response) -> io::Result<String> {
    let mut text = String::new();
    let body = response.split().2;
    let read = body.take(TEXT_BYTES_MAX + 1).read_to_string(&mut text)?;
    if read as u64 > TEXT_BYTES_MAX {
        return Err(io::Error::other("the response is too long"));
    }
    Ok(text)
}
