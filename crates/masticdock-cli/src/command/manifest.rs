//! `masticdock manifest`.

use std::fs::File;
use std::io::Read;
use std::process::ExitCode;

use masticdock_core::manifest::{CHUNKS_MAX, Manifest};

use crate::cli::ManifestArgs;
use crate::error::CliError;

pub(super) fn run(args: &ManifestArgs) -> Result<ExitCode, CliError> {
    let chunk_bytes = usize::try_from(args.chunk_size.0).unwrap_or(usize::MAX);
    if chunk_bytes == 0 {
        return Err(CliError::usage("the chunk size is 0").with_tip("use for example `4MiB`"));
    }
    let unreadable = |error: std::io::Error| {
        CliError::usage(format!("cannot read {}: {error}", args.weights.display()))
    };
    let mut weights = File::open(&args.weights).map_err(unreadable)?;
    let mut failure = None;
    // Weights are larger than the memory of an operator's machine.
    let chunks = std::iter::from_fn(|| {
        let mut chunk = Vec::new();
        let limit = args.chunk_size.0;
        match weights.by_ref().take(limit).read_to_end(&mut chunk) {
            Ok(0) => None,
            Ok(_) => Some(chunk),
            Err(error) => {
                failure = Some(error);
                None
            }
        }
    });
    let manifest = Manifest::from_chunks(&args.object, chunk_bytes, chunks);
    if let Some(error) = failure {
        return Err(unreadable(error));
    }
    check_count(&manifest)?;
    let (bytes, digest) = manifest.encode();
    std::fs::write(&args.to, &bytes)
        .map_err(|error| CliError::usage(format!("cannot write {}: {error}", args.to.display())))?;
    println!("manifest: {digest}");
    println!("size_bytes: {}", manifest.total_bytes.0);
    println!("chunks: {}", manifest.chunks.len());
    Ok(ExitCode::SUCCESS)
}

/// Refuses a manifest that agents would not accept.
fn check_count(manifest: &Manifest) -> Result<(), CliError> {
    let count = manifest.chunks.len();
    if count == 0 {
        return Err(CliError::usage("the file of weights is empty"));
    }
    if count > CHUNKS_MAX {
        let message = format!("{count} chunks are more than the limit of {CHUNKS_MAX}");
        return Err(CliError::usage(message).with_tip("use a larger `--chunk-size`"));
    }
    Ok(())
}
