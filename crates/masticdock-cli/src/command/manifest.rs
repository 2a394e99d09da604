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
        return Err(CliError::usage("the chunk size is 0").with_tip("use a size such as `4MiB`"));
    }
    let to_cli_error = |error: std::io::Error| {
        CliError::usage(format!("cannot read {}: {error}", args.weights.display()))
    };
    let mut weights = File::open(&args.weights).map_err(to_cli_error)?;
    let mut read_error = None;
    // Weights may not fit into the memory of the operator's machine, so they are read
    // one chunk at a time.
    let chunks = std::iter::from_fn(|| {
        let mut chunk = Vec::new();
        let limit = args.chunk_size.0;
        match weights.by_ref().take(limit).read_to_end(&mut chunk) {
            Ok(0) => None,
            Ok(_) => Some(chunk),
            Err(error) => {
                read_error = Some(error);
                None
            }
        }
    });
    let manifest = Manifest::from_chunks(&args.object, chunk_bytes, chunks);
    if let Some(error) = read_error {
        return Err(to_cli_error(error));
    }
    check_chunk_count(&manifest)?;
    let (bytes, digest) = manifest.encode();
    std::fs::write(&args.to, &bytes)
        .map_err(|error| CliError::usage(format!("cannot write {}: {error}", args.to.display())))?;
    println!("manifest: {digest}");
    println!("size_bytes: {}", manifest.total_bytes.0);
    println!("chunks: {}", manifest.chunks.len());
    Ok(ExitCode::SUCCESS)
}

/// Rejects a manifest that agents would reject.
fn check_chunk_count(manifest: &Manifest) -> Result<(), CliError> {
    let count = manifest.chunks.len();
    if count == 0 {
        return Err(CliError::usage("the weights file is empty"));
    }
    if count > CHUNKS_MAX {
        let message = format!("{count} chunks exceed the limit of {CHUNKS_MAX}");
        return Err(CliError::usage(message).with_tip("use a larger `--chunk-size`"));
    }
    Ok(())
}
