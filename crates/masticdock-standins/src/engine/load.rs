//! Handler of load orders.

use std::io::Read;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use masticdock_core::ids::{AdapterId, Digest, DigestHasher, Fence, VersionId};
use masticdock_core::units::ByteCount;
use serde::Deserialize;

use super::state::Engine;
use crate::http::Call;

/// Longest time without received bytes before a load fails.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Deserialize)]
struct Order {
    fence: Fence,
    version: VersionId,
    #[serde(flatten)]
    weights: Weights,
    #[serde(default)]
    adapters: Vec<AdapterOrder>,
}

#[derive(Deserialize)]
struct AdapterOrder {
    name: AdapterId,
    #[serde(flatten)]
    weights: Weights,
}

#[derive(Deserialize)]
struct Weights {
    weights_url: String,
    root: Digest,
    size_bytes: ByteCount,
}

pub(super) fn handle(mut call: Call, engine: &Arc<Engine>) {
    let order: Order = match call.json() {
        Ok(order) => order,
        Err(error) => return call.answer(400, "text/plain", error.as_bytes()),
    };
    let epoch = {
        let mut held = engine.held();
        if engine.options().fence_checked {
            if order.fence < held.fence {
                let seen = held.fence;
                drop(held);
                let message = format!("the fencing number is below {seen}");
                return call.answer(409, "text/plain", message.as_bytes());
            }
            held.fence = order.fence;
        }
        held.epoch += 1;
        held.state = "loading";
        held.version = Some(order.version.clone());
        held.root = None;
        held.adapters.clear();
        held.reason.clear();
        held.epoch
    };
    let engine = Arc::clone(engine);
    thread::spawn(move || load(&engine, &order, epoch));
    call.answer(202, "text/plain", b"");
}

fn load(engine: &Engine, order: &Order, epoch: u64) {
    let result = read_order(engine, order);
    thread::sleep(Duration::from_millis(engine.options().load_ms));
    let mut held = engine.held();
    if held.epoch != epoch {
        return;
    }
    match result {
        Ok((root, adapters)) => {
            held.state = "ready";
            held.root = Some(root);
            held.adapters = adapters;
        }
        Err(reason) => {
            held.state = "failed";
            held.reason = reason;
        }
    }
}

fn read_order(
    engine: &Engine,
    order: &Order,
) -> Result<(Digest, Vec<(AdapterId, Digest)>), String> {
    let options = engine.options();
    let root = read(&order.weights, options.root_unchecked)?;
    let mut adapters = Vec::with_capacity(order.adapters.len());
    for adapter in &order.adapters {
        let root = read(&adapter.weights, options.root_unchecked)?;
        adapters.push((adapter.name.clone(), root));
    }
    let version = order.version.as_str();
    if options.bad_versions.iter().any(|bad| bad == version) {
        return Err(format!("version {version} cannot be loaded"));
    }
    Ok((root, adapters))
}

/// Downloads weights without storing them and returns their digest.
fn read(weights: &Weights, root_unchecked: bool) -> Result<Digest, String> {
    let read_error = |error: &dyn std::fmt::Display| format!("cannot read weights: {error}");
    let response = attohttpc::get(&weights.weights_url)
        .read_timeout(READ_TIMEOUT)
        .proxy_settings(attohttpc::ProxySettings::builder().build())
        .send()
        .map_err(|error| read_error(&error))?;
    if !response.is_success() {
        return Err(read_error(&response.status()));
    }
    let mut reader = response.split().2;
    let mut hasher = DigestHasher::default();
    let mut total_bytes = 0;
    let mut buffer = vec![0; 64 << 10];
    loop {
        let len = reader
            .read(&mut buffer)
            .map_err(|error| read_error(&error))?;
        if len == 0 {
            break;
        }
        hasher.update(&buffer[..len]);
        total_bytes += len as u64;
    }
    if total_bytes != weights.size_bytes.0 {
        return Err(format!(
            "the weights have {total_bytes} bytes instead of {}",
            weights.size_bytes.0
        ));
    }
    let root = hasher.finish();
    if root != weights.root && !root_unchecked {
        return Err("the weights do not have the root digest of the order".to_owned());
    }
    Ok(root)
}
