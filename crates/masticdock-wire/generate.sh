#!/usr/bin/env bash
# Regenerates src/peer_capnp.rs. Needs `capnp` and `capnpc-rust` (cargo install capnpc).
set -eu
cd "$(dirname "$0")"
capnp compile -o rust:src --src-prefix=schema schema/peer.capnp
