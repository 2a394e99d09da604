//! Publishes model versions: their weights and manifests.

use std::time::Duration;

use anyhow::Context;
use compact_str::CompactString;
use masticdock_core::ids::{Digest, DigestHasher};
use masticdock_core::manifest::Manifest;
use masticdock_core::resource::{Resource, Version};
use masticdock_core::units::ByteCount;
use masticdock_standins::origin::{OriginStats, generated};

use super::Fleet;

/// Timeout for storing weights or a manifest.
const PUT_TIMEOUT: Duration = Duration::from_mins(1);

impl Fleet {
    /// Stores weights at the origin and their manifest in the object store; returns the version.
    ///
    /// # Errors
    ///
    /// Returns an error if a stand-in does not answer.
    pub fn publish(
        &self,
        model: &str,
        version: &str,
        weights: &[u8],
        chunk_bytes: usize,
    ) -> anyhow::Result<Resource> {
        let object = format!("weights/{version}");
        let url = format!("http://{}/{object}", self.control("origin")?);
        let response = attohttpc::put(url)
            .timeout(PUT_TIMEOUT)
            .bytes(weights)
            .send()?;
        response.error_for_status()?;
        self.publish_manifest(
            model,
            version,
            &Manifest::build(&object, weights, chunk_bytes),
        )
    }

    /// Publishes a version whose weights the origin generates on request instead of storing them.
    ///
    /// # Errors
    ///
    /// Returns an error if a stand-in does not answer.
    pub fn publish_generated(
        &self,
        model: &str,
        version: &str,
        total_bytes: u64,
        chunk_bytes: u64,
    ) -> anyhow::Result<Resource> {
        let object = format!("generated/{total_bytes}/{version}");
        let mut root = DigestHasher::default();
        let mut chunks = Vec::new();
        let mut offset = 0;
        while offset < total_bytes {
            let length = chunk_bytes.min(total_bytes - offset);
            let chunk = generated(&format!("/{object}"), offset, usize::try_from(length)?);
            root.update(&chunk);
            chunks.push(Digest::of(&chunk));
            offset += length;
        }
        let manifest = Manifest {
            object: CompactString::from(object),
            total_bytes: ByteCount(total_bytes),
            chunk_bytes: ByteCount(chunk_bytes),
            chunks,
            root: root.finish(),
        };
        self.publish_manifest(model, version, &manifest)
    }

    /// Stores a manifest and returns the version that refers to it.
    ///
    /// # Errors
    ///
    /// Returns an error if the object store does not answer.
    pub fn publish_manifest(
        &self,
        model: &str,
        version: &str,
        manifest: &Manifest,
    ) -> anyhow::Result<Resource> {
        let (bytes, digest) = manifest.encode();
        let store = self.control("objects")?;
        let url = format!("http://{store}/masticdock/manifests/{digest}");
        let response = attohttpc::put(url)
            .timeout(PUT_TIMEOUT)
            .bytes(bytes)
            .send()?;
        response
            .error_for_status()
            .context("object store rejected the manifest")?;
        Ok(Resource::Version(Version {
            name: version.parse()?,
            model: model.parse()?,
            manifest: digest,
            size_bytes: manifest.total_bytes,
        }))
    }

    /// Returns the number of bytes read from the origin.
    ///
    /// # Errors
    ///
    /// Returns an error if the origin does not answer.
    pub fn origin_stats(&self) -> anyhow::Result<OriginStats> {
        self.control_get("origin", "/stats")
    }
}
