//! Client for orders to a model engine over loopback HTTP.

use compact_str::CompactString;
use masticdock_core::ids::{AdapterId, Digest, Fence, VersionId};
use masticdock_core::units::ByteCount;
use serde::{Deserialize, Serialize};

use crate::http::{HttpSettings, PlatformError, PlatformErrorKind, prepare};

/// What an engine does at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineState {
    /// Holds no version.
    Empty,
    /// Reads and loads a version.
    Loading,
    /// Serves the version that it holds.
    Ready,
    /// The last load failed; the reason is in `reason`.
    Failed,
}

/// Status that an engine reports; the load figures lag.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Changes with each start of the engine.
    pub boot: CompactString,
    /// State.
    pub state: EngineState,
    /// Version held or being loaded.
    #[serde(default)]
    pub version: Option<VersionId>,
    /// Root digest of the version held, as computed by the engine itself.
    #[serde(default)]
    pub root: Option<Digest>,
    /// Adapters held, each with the root digest that the engine computed.
    #[serde(default)]
    pub adapters: Vec<(AdapterId, Digest)>,
    /// Highest fencing number seen; 0 for engines that ignore it.
    #[serde(default)]
    pub fence: Fence,
    /// Requests in progress.
    #[serde(default)]
    pub in_progress: u32,
    /// Requests waiting.
    #[serde(default)]
    pub queued: u32,
    /// Why the last load failed.
    #[serde(default)]
    pub reason: CompactString,
}

/// An adapter within a [`LoadOrder`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadOrderAdapter {
    /// The adapter.
    pub name: AdapterId,
    /// Loopback URL of its weights.
    pub weights_url: String,
    /// Root digest that the weights must have.
    pub root: Digest,
    /// Size of the weights.
    pub size_bytes: ByteCount,
}

/// Orders an engine to load a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadOrder {
    /// Fencing number; engines that check it refuse a lower one than they have seen.
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

/// Client of one engine.
#[derive(Debug, Clone)]
pub struct EngineClient {
    url: String,
    http: HttpSettings,
}

impl EngineClient {
    /// Makes a client; nothing is sent.
    #[must_use]
    pub fn new(url: impl Into<String>, http: HttpSettings) -> Self {
        Self {
            url: url.into(),
            http,
        }
    }

    /// Reads the status.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not answer.
    pub fn status(&self) -> Result<EngineStatus, PlatformError> {
        const CALL: &str = "engine status";
        let from_http = |error: attohttpc::Error| PlatformError::from_http(CALL, &error);
        let response = prepare(attohttpc::get(format!("{}/status", self.url)), self.http)
            .send()
            .map_err(from_http)?;
        let status = response.status().as_u16();
        let text = response.text_utf8().map_err(from_http)?;
        if status != 200 {
            return Err(PlatformError::from_status(CALL, status, &text));
        }
        serde_json::from_str(&text).map_err(|error| {
            PlatformError::new(PlatformErrorKind::Malformed, CALL, error.to_string())
        })
    }

    /// Orders a load; the engine loads in the background and reports by status.
    ///
    /// # Errors
    ///
    /// Kind `Refused` means that the engine has seen a higher fencing number.
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
        let text = response.text_utf8().unwrap_or_default();
        Err(PlatformError::from_status(CALL, status, &text))
    }
}
