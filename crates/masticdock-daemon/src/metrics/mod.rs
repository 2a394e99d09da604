//! Prometheus metrics of the daemon.

use prometheus::{Encoder, Registry, TextEncoder};

/// All metrics of this process.
#[derive(Debug, Clone)]
pub(crate) struct Metrics {
    registry: Registry,
}

impl Metrics {
    /// Makes an empty registry; each part registers its own metrics in it.
    pub(crate) fn new() -> Self {
        Self {
            registry: Registry::new(),
        }
    }

    /// Returns the registry.
    pub(crate) const fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Renders the metrics in the Prometheus text format.
    pub(crate) fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Writing to a Vec does not fail; a metric that cannot be encoded is left out.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}
