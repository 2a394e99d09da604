//! Client of the fleet view, a list of VMs in JSON with an `ETag`. The list can be
//! out of date.

use std::net::SocketAddr;

use compact_str::CompactString;
use masticdock_core::ids::{RegionId, ZoneId};
use masticdock_core::membership::Role;
use masticdock_core::resource::Labels;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::http::{HttpSettings, PlatformError, PlatformErrorKind, prepare};

/// State of a VM in the fleet view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FleetVmState {
    /// The VM is running.
    Live,
    /// The platform is going to remove the VM.
    Leaving,
}

/// VM in the fleet view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetVm {
    /// Id of the VM.
    pub id: CompactString,
    /// Role of the VM's masticdock process.
    pub role: Role,
    /// State of the VM.
    pub state: FleetVmState,
    /// Region of the VM.
    pub region: RegionId,
    /// Availability zone of the VM.
    pub zone: ZoneId,
    /// Address for gossip and RPC.
    pub peer_addr: SocketAddr,
    /// Address for requests; set for agents only.
    #[serde(default)]
    pub traffic_addr: Option<SocketAddr>,
    /// Labels that the platform assigned.
    #[serde(default)]
    pub labels: Labels,
}

/// Contents of the fleet view.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetList {
    /// All VMs known to the platform.
    pub vms: Vec<FleetVm>,
}

/// List whose entries are decoded one by one, so that an odd one does not hide the others.
#[derive(Deserialize)]
struct RawList<'a> {
    #[serde(borrow)]
    vms: Vec<&'a RawValue>,
}

/// Part of an entry that can be read even if the rest cannot.
#[derive(Deserialize)]
struct EntryId {
    id: CompactString,
}

/// Client of the fleet view. Stores the last list and its `ETag`, to detect an unchanged list.
#[derive(Debug, Clone)]
pub struct FleetClient {
    url: String,
    http: HttpSettings,
    etag: Option<String>,
    last: FleetList,
    unreadable: Vec<String>,
}

impl FleetClient {
    /// Creates a client without sending a request.
    #[must_use]
    pub fn new(url: impl Into<String>, http: HttpSettings) -> Self {
        Self {
            url: url.into(),
            http,
            etag: None,
            last: FleetList::default(),
            unreadable: Vec::new(),
        }
    }

    /// Returns the errors of the entries of the last list that could not be read.
    #[must_use]
    pub fn unreadable(&self) -> &[String] {
        &self.unreadable
    }

    /// Reads the list. Returns `None` if it is unchanged since the last read.
    ///
    /// An entry that cannot be read is passed over; a VM that is known keeps its last entry.
    ///
    /// # Errors
    ///
    /// Returns an error if the fleet view does not answer or its list cannot be
    /// decoded.
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
        self.last = self.decode(&list);
        self.etag = etag;
        Ok(Some(self.last.clone()))
    }

    fn decode(&mut self, list: &RawList<'_>) -> FleetList {
        self.unreadable.clear();
        let mut vms = Vec::with_capacity(list.vms.len());
        for entry in &list.vms {
            let error = match serde_json::from_str(entry.get()) {
                Ok(vm) => {
                    vms.push(vm);
                    continue;
                }
                Err(error) => error,
            };
            let id = serde_json::from_str(entry.get()).map(|EntryId { id }| id);
            let id = id.unwrap_or_default();
            self.unreadable.push(format!("{id}: {error}"));
            vms.extend(self.last.vms.iter().find(|vm| vm.id == id).cloned());
        }
        FleetList { vms }
    }
}
