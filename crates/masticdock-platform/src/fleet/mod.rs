//! Client of the fleet view: a lagging list of VMs as JSON with an `ETag`.

use std::net::SocketAddr;

use compact_str::CompactString;
use masticdock_core::ids::{RegionId, ZoneId};
use masticdock_core::membership::Role;
use masticdock_core::resource::Labels;
use serde::{Deserialize, Serialize};

use crate::http::{HttpSettings, PlatformError, PlatformErrorKind, prepare};

/// State of a VM in the fleet view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FleetVmState {
    /// The VM runs.
    Live,
    /// The platform will take the VM away.
    Leaving,
}

/// One VM of the fleet view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetVm {
    /// Id of the VM.
    pub id: CompactString,
    /// Role of its masticdock process.
    pub role: Role,
    /// State.
    pub state: FleetVmState,
    /// Region.
    pub region: RegionId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Address for gossip and RPC.
    pub peer_addr: SocketAddr,
    /// Address for requests, of agents only.
    #[serde(default)]
    pub traffic_addr: Option<SocketAddr>,
    /// Labels from the platform.
    #[serde(default)]
    pub labels: Labels,
}

/// The whole list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetList {
    /// All VMs known to the platform.
    pub vms: Vec<FleetVm>,
}

/// Client of the fleet view; remembers the last `ETag`.
#[derive(Debug, Clone)]
pub struct FleetClient {
    url: String,
    http: HttpSettings,
    etag: Option<String>,
}

impl FleetClient {
    /// Makes a client; nothing is sent.
    #[must_use]
    pub fn new(url: impl Into<String>, http: HttpSettings) -> Self {
        Self {
            url: url.into(),
            http,
            etag: None,
        }
    }

    /// Reads the list; `None` when it is unchanged since the last read.
    ///
    /// # Errors
    ///
    /// Fails when the fleet view does not answer or sends no list.
    pub fn read(&mut self) -> Result<Option<FleetList>, PlatformError> {
        const CALL: &str = "fleet view read";
        let from_http = |error: attohttpc::Error| PlatformError::from_http(CALL, &error);
        let mut request = prepare(attohttpc::get(&self.url), self.http);
        if let Some(etag) = &self.etag {
            request = request.header("If-None-Match", etag);
        }
        let response = request.send().map_err(from_http)?;
        let status = response.status().as_u16();
        if status == 304 {
            return Ok(None);
        }
        let etag = response.headers().get("etag");
        let etag = etag
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned);
        let text = response.text_utf8().map_err(from_http)?;
        if status != 200 {
            return Err(PlatformError::from_status(CALL, status, &text));
        }
        let list = serde_json::from_str(&text).map_err(|error| {
            PlatformError::new(PlatformErrorKind::Malformed, CALL, error.to_string())
        })?;
        self.etag = etag;
        Ok(Some(list))
    }
}
