//! Prometheus metrics of the daemon.

use prometheus::{Encoder, Registry, TextEncoder};

/// Registry of all metrics of this process.
#[derive(Debug, Clone)]
pub(crate) struct Metrics {
    registry: Registry,
}

impl Metrics {
    /// Creates an empty registry; each module registers its own metrics in it.
    pub(crate) fn new() -> Self {
        Self {
            registry: Registry::new(),
        }
    }

    pub(crate) const fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Renders the metrics in the Prometheus text format.
    pub(crate) fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Writing to a `Vec` cannot fail; the output ends before a metric that cannot be encoded.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}
