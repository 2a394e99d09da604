use std::io::Read;
use std::sync::Arc;

use masticdock_core::ids::Digest;
use masticdock_core::manifest::Manifest;

use super::{CopySource, spawn};
use crate::agent::transfer::VerifiedCopy;

/// Guards against weights that reach the engine truncated, reordered or unverified.
#[test]
fn engine_reads_the_whole_verified_copy_only() {
    let weights: Vec<u8> = (0..10_007_u32).map(|i| (i * 7 % 251) as u8).collect();
    let manifest = Arc::new(Manifest::build("w", &weights, 1_000));
    let (_, held) = manifest.encode();
    let chunks = weights.chunks(1_000).map(Arc::from).collect();
    let copy = Arc::new(VerifiedCopy { manifest, chunks });
    let copies: CopySource = Arc::new(move |digest| (*digest == held).then(|| Arc::clone(&copy)));
    let url = spawn("127.0.0.1:0".parse().unwrap(), &copies).unwrap();

    let response = attohttpc::get(format!("{url}/weights/{held}"))
        .send()
        .unwrap();
    assert_eq!(response.status().as_u16(), 200);
    let mut read = Vec::new();
    response.split().2.read_to_end(&mut read).unwrap();
    assert_eq!(Digest::of(&read), Digest::of(&weights));

    let other = Digest::of(b"other");
    for path in [format!("weights/{other}"), "weights/zz".into(), "x".into()] {
        let response = attohttpc::get(format!("{url}/{path}")).send().unwrap();
        assert_eq!(response.status().as_u16(), 404, "{path}");
    }
}
