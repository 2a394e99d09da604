//! List of the upstreams of a service, which agents read from an entry of their region
//! instead of from the store.

use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use masticdock_adapter::{CallError, HttpClient, decode_path_segment, encode_path_segment};
use masticdock_core::ids::{External, ExternalName, ModelId, ServiceId, UpstreamId, ZoneId};
use masticdock_core::serving::{Directory, LayerSpan, ModelState, Upstream, VersionNumber};
use serde::{Deserialize, Serialize};

use crate::clock;

/// Path of the list, followed by the name of a service.
const PATH_PREFIX: &str = "/upstreams/";
/// Timeout for the list from an entry of the region.
const READ_TIMEOUT: Duration = Duration::from_millis(700);

/// An upstream in the list; leaving upstreams are left out.
#[derive(Debug, Serialize, Deserialize)]
struct ListedUpstream {
    id: External<UpstreamId>,
    address: SocketAddr,
    zone: External<ZoneId>,
    slots: u32,
    started_at_ms: Option<u64>,
    models: Vec<ListedModel>,
}

#[derive(Debug, Serialize, Deserialize)]
struct ListedModel {
    model: External<ModelId>,
    /// First layer, exclusive end and version of each span.
    layers: Vec<(u32, u32, u64)>,
}

/// Returns the service whose list a request asks for.
pub(crate) fn parse_path(path: &str) -> Option<ServiceId> {
    let name = decode_path_segment(path.strip_prefix(PATH_PREFIX)?)?;
    ServiceId::from_external(&name).ok()
}

/// Encodes the upstreams of a service.
///
/// # Errors
///
/// Returns an error if the list cannot be encoded as JSON.
pub(crate) fn encode(
    directory: &Directory,
    service: &ServiceId,
) -> Result<Vec<u8>, serde_json::Error> {
    let listed: Vec<ListedUpstream> = directory
        .serving(service, clock::now())
        .map(|upstream| ListedUpstream {
            id: External(upstream.id.clone()),
            address: upstream.address,
            zone: External(upstream.zone.clone()),
            slots: upstream.slots,
            started_at_ms: upstream.started_at_ms,
            models: upstream.models.iter().map(list_model).collect(),
        })
        .collect();
    serde_json::to_vec(&listed)
}

fn list_model(model: &ModelState) -> ListedModel {
    let spans = model.layers.iter();
    ListedModel {
        model: External(model.model.clone()),
        layers: spans
            .map(|span| (span.from, span.until, span.version.0))
            .collect(),
    }
}

fn decode(bytes: &[u8], service: &ServiceId) -> Result<Vec<Upstream>, serde_json::Error> {
    let listed: Vec<ListedUpstream> = serde_json::from_slice(bytes)?;
    let mut upstreams = Vec::with_capacity(listed.len());
    for upstream in listed {
        let mut models = Vec::with_capacity(upstream.models.len());
        for model in upstream.models {
            let spans = model.layers.into_iter();
            models.push(ModelState {
                model: model.model.0,
                layers: spans
                    .map(|(from, until, version)| LayerSpan {
                        from,
                        until,
                        version: VersionNumber(version),
                    })
                    .collect(),
            });
        }
        upstreams.push(Upstream {
            id: upstream.id.0,
            service: service.clone(),
            address: upstream.address,
            zone: upstream.zone.0,
            slots: upstream.slots,
            leaving: false,
            models,
            started_at_ms: upstream.started_at_ms,
            cold_left_ms: None,
        });
    }
    Ok(upstreams)
}

/// Reads the upstreams of a service from the entry at `entry`.
///
/// # Errors
///
/// Returns an error if the entry does not answer in time, does not have a current list,
/// or answers with anything else.
pub(crate) async fn read(
    entry: SocketAddr,
    service: &ServiceId,
) -> Result<Vec<Upstream>, CallError> {
    let path = format!("{PATH_PREFIX}{}", encode_path_segment(service.as_str()));
    let reply = HttpClient::new(entry).get(&path, READ_TIMEOUT).await?;
    if reply.status != StatusCode::OK {
        return Err(CallError::Unexpected(reply.status.to_string()));
    }
    decode(&reply.body, service).map_err(|error| CallError::Unexpected(error.to_string()))
}
