//! Hello of an entry: what an agent needs from the store, so that it does not have to
//! read the store itself.

use std::net::SocketAddr;

use masticdock_adapter::DeclaredVersion;
use masticdock_core::ids::{ExternalName, ModelId, ServiceId, ZoneId};
use masticdock_core::serving::{
    Configuration, ConfigurationStamp, ModelTarget, Origin, StoreEra, VersionNumber,
};

use super::DATAGRAM_BYTES_MAX;

/// Prefix of a hello; its last byte is the format version.
const HELLO_MAGIC: [u8; 4] = *b"mdh4";
const RESUMABLE_FLAG: u8 = 1;
const TARGET_FLAG: u8 = 2;
const STARTING_FLAG: u8 = 4;
const ERA_FLAG: u8 = 8;

/// Subscription of an entry to the reports of an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Hello {
    /// True if every stream of an engine can be resumed on another upstream.
    pub(crate) resumable: bool,
    /// True in the first seconds of the entry's process, which does not know yet what
    /// agents told its predecessor.
    pub(crate) starting: bool,
    /// Time since the entry's last successful poll of the operators' table, in
    /// milliseconds.
    pub(crate) poll_age_ms: u32,
    /// Availability zone of the entry.
    pub(crate) zone: ZoneId,
    /// Model of the service that the agent belongs to, once the entry knows it.
    pub(crate) target: Option<ConfiguredTarget>,
    /// Newest declared version of each model, with its age in milliseconds.
    pub(crate) versions: Vec<(DeclaredVersion, u64)>,
}

/// Model of a service, and the stamp of the configuration that names it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ConfiguredTarget {
    pub(crate) configuration: ConfigurationStamp,
    pub(crate) target: ModelTarget,
}

impl ConfiguredTarget {
    /// Returns the model that the upstreams of `service` run, if they run one.
    pub(crate) fn of(
        configuration: &Configuration,
        stamp: ConfigurationStamp,
        service: &ServiceId,
    ) -> Option<Self> {
        Some(Self {
            configuration: stamp,
            target: configuration.model_target(service)?,
        })
    }
}

impl Hello {
    /// Encodes the hello. Versions that exceed the maximum length are omitted; agents
    /// that hear no others read them from the store.
    pub(super) fn encode(&self) -> Vec<u8> {
        let mut bytes = HELLO_MAGIC.to_vec();
        let mut flags = 0;
        if self.resumable {
            flags |= RESUMABLE_FLAG;
        }
        if let Some(target) = &self.target {
            flags |= TARGET_FLAG;
            if target.configuration.written_in.is_some() {
                flags |= ERA_FLAG;
            }
        }
        if self.starting {
            flags |= STARTING_FLAG;
        }
        bytes.push(flags);
        bytes.extend_from_slice(&self.poll_age_ms.to_le_bytes());
        put_text(&mut bytes, self.zone.as_str());
        if let Some(target) = &self.target {
            put_target(&mut bytes, target);
        }
        for (declared, age_ms) in &self.versions {
            let name = declared.model.as_str();
            if bytes.len() + 17 + name.len() > DATAGRAM_BYTES_MAX {
                break;
            }
            bytes.extend_from_slice(&declared.version.0.to_le_bytes());
            bytes.extend_from_slice(&age_ms.to_le_bytes());
            put_text(&mut bytes, name);
        }
        bytes
    }

    /// Decodes a hello; returns `None` if the bytes are none or are invalid.
    pub(super) fn decode(bytes: &[u8]) -> Option<Self> {
        let mut reader = Reader(bytes.strip_prefix(&HELLO_MAGIC)?);
        let flags = reader.take::<1>()?[0];
        let poll_age_ms = u32::from_le_bytes(reader.take()?);
        let zone = ZoneId::from_external(reader.text()?).ok()?;
        let target = if flags & TARGET_FLAG == 0 {
            None
        } else {
            Some(read_target(&mut reader, flags & ERA_FLAG != 0)?)
        };
        let mut versions = Vec::new();
        while !reader.0.is_empty() {
            let version = VersionNumber(reader.u64()?);
            let age_ms = reader.u64()?;
            let model = ModelId::from_external(reader.text()?).ok()?;
            versions.push((DeclaredVersion { model, version }, age_ms));
        }
        Some(Self {
            resumable: flags & RESUMABLE_FLAG != 0,
            starting: flags & STARTING_FLAG != 0,
            poll_age_ms,
            zone,
            target,
            versions,
        })
    }
}

fn put_target(bytes: &mut Vec<u8>, configured: &ConfiguredTarget) {
    let target = &configured.target;
    bytes.extend_from_slice(&configured.configuration.number.to_le_bytes());
    if let Some(era) = configured.configuration.written_in {
        bytes.extend_from_slice(&era.0.to_le_bytes());
    }
    put_text(bytes, target.model.as_str());
    bytes.extend_from_slice(&target.slots.to_le_bytes());
    bytes.extend_from_slice(&target.layers.to_le_bytes());
    bytes.extend_from_slice(&(target.chunk_count as u64).to_le_bytes());
    bytes.extend_from_slice(&target.mean_prefill_ms.to_le_bytes());
    bytes.extend_from_slice(&target.full_pass_ms.to_le_bytes());
    // 0 encodes the absence of an objective.
    let pause_objective_ms = target.pause_objective_ms.unwrap_or(0);
    bytes.extend_from_slice(&pause_objective_ms.to_le_bytes());
    put_text(bytes, &target.origin.address.to_string());
    // An empty name encodes the absence of a zone.
    let zone = target.origin.zone.as_ref().map_or("", ZoneId::as_str);
    put_text(bytes, zone);
}

fn read_target(reader: &mut Reader<'_>, has_era: bool) -> Option<ConfiguredTarget> {
    let number = reader.u64()?;
    let written_in = if has_era {
        Some(StoreEra(reader.u64()?))
    } else {
        None
    };
    let model = ModelId::from_external(reader.text()?).ok()?;
    let slots = u32::from_le_bytes(reader.take()?);
    let layers = u32::from_le_bytes(reader.take()?);
    let chunk_count = usize::try_from(reader.u64()?).ok()?;
    let mean_prefill_ms = reader.u64()?;
    let full_pass_ms = reader.u64()?;
    let pause_objective_ms = Some(reader.u64()?).filter(|pause_ms| *pause_ms > 0);
    let address: SocketAddr = reader.text()?.parse().ok()?;
    let zone = match reader.text()? {
        "" => None,
        zone => Some(ZoneId::from_external(zone).ok()?),
    };
    Some(ConfiguredTarget {
        configuration: ConfigurationStamp { number, written_in },
        target: ModelTarget {
            model,
            slots,
            layers,
            chunk_count,
            mean_prefill_ms,
            full_pass_ms,
            pause_objective_ms,
            origin: Origin { address, zone },
        },
    })
}

/// Appends a text with its length. A text that is too long for the length is replaced
/// by an empty one, which no receiver accepts as a name.
fn put_text(bytes: &mut Vec<u8>, text: &str) {
    let length = u8::try_from(text.len()).unwrap_or(0);
    bytes.push(length);
    bytes.extend_from_slice(&text.as_bytes()[..usize::from(length)]);
}

/// Rest of the bytes that are being decoded.
struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    fn take<const N: usize>(&mut self) -> Option<[u8; N]> {
        let (taken, rest) = self.0.split_first_chunk::<N>()?;
        self.0 = rest;
        Some(*taken)
    }

    fn u64(&mut self) -> Option<u64> {
        self.take().map(u64::from_le_bytes)
    }

    fn text(&mut self) -> Option<&'a str> {
        let length = usize::from(self.take::<1>()?[0]);
        let (text, rest) = self.0.split_at_checked(length)?;
        self.0 = rest;
        std::str::from_utf8(text).ok()
    }
}
