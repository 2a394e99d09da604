//! Writes the settings files and secrets of the daemons.

use std::fs;
use std::io::Write;
use std::net::SocketAddr;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

use anyhow::Context;
use serde_json::{Value as Json, json};

use super::plan::Place;

/// Access token of the operator named `bench`.
pub(super) const OPERATOR_TOKEN: &str = "bench-operator-token";

/// Addresses at which the processes of one region reach the platform's services.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlatformAddrs {
    pub(super) table: SocketAddr,
    pub(super) objects: SocketAddr,
    pub(super) origin: SocketAddr,
    pub(super) fleet: SocketAddr,
}

/// Paths of the files with secrets, which only their owner can read.
#[derive(Debug, Clone)]
pub(super) struct SecretFiles {
    pub(super) peer_key: PathBuf,
    pub(super) operator_tokens: PathBuf,
}

impl SecretFiles {
    pub(super) fn write(folder: &Path) -> anyhow::Result<Self> {
        let files = Self {
            peer_key: folder.join("peer.key"),
            operator_tokens: folder.join("operator.tokens"),
        };
        write_secret(&files.peer_key, &"5a".repeat(32))?;
        write_secret(&files.operator_tokens, &format!("bench:{OPERATOR_TOKEN}"))?;
        Ok(files)
    }
}

fn write_secret(path: &Path, text: &str) -> anyhow::Result<()> {
    let mut file = fs::OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(0o600)
        .open(path)
        .with_context(|| format!("cannot create {}", path.display()))?;
    writeln!(file, "{text}")?;
    Ok(())
}

/// Returns the settings that entries and agents have in common.
pub(super) fn common(
    id: &str,
    place: &Place,
    (peer_addr, status_addr): (SocketAddr, SocketAddr),
    platform: PlatformAddrs,
    secrets: &SecretFiles,
) -> Json {
    json!({
        "node": {
            "id": id,
            "region": place.region,
            "zone": place.zone,
            "peer_addr": peer_addr,
            "status_addr": status_addr,
        },
        "platform": {
            "table_url": format!("http://{}", platform.table),
            "object_store_url": format!("http://{}/masticdock", platform.objects),
            "origin_url": format!("http://{}", platform.origin),
            "fleet_view_url": format!("http://{}/vms", platform.fleet),
        },
        "security": { "peer_key_file": secrets.peer_key },
    })
}

/// Merges `changes` into `target`: objects field by field, other values are replaced.
pub(super) fn merge(target: &mut Json, changes: &Json) {
    let (Some(fields), Some(changes)) = (target.as_object_mut(), changes.as_object()) else {
        *target = changes.clone();
        return;
    };
    for (name, change) in changes {
        merge(fields.entry(name).or_insert(Json::Null), change);
    }
}

pub(super) fn write(path: &Path, settings: &Json) -> anyhow::Result<()> {
    let text = serde_yaml_ng::to_string(settings)?;
    fs::write(path, text).with_context(|| format!("cannot write {}", path.display()))
}
