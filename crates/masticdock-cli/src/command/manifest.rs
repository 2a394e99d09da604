//! `masticdock manifest`.

use std::process::ExitCode;

use masticdock_core::manifest::Manifest;

use crate::cli::ManifestArgs;
use crate::error::CliError;

pub(super) fn run(args: &ManifestArgs) -> Result<ExitCode, CliError> {
    let chunk_bytes = usize::try_from(args.chunk_size.0).unwrap_or(usize::MAX);
    if chunk_bytes == 0 {
        return Err(CliError::usage("the chunk size is 0").with_tip("use for example `4MiB`"));
    }
    let weights = std::fs::read(&args.weights).map_err(|error| {
        CliError::usage(format!("cannot read {}: {error}", args.weights.display()))
    })?;
    let manifest = Manifest::build(&args.object, &weights, chunk_bytes);
    let (bytes, digest) = manifest.encode();
    std::fs::write(&args.to, &bytes)
        .map_err(|error| CliError::usage(format!("cannot write {}: {error}", args.to.display())))?;
    println!("manifest: {digest}");
    println!("size_bytes: {}", manifest.total_bytes.0);
    println!("chunks: {}", manifest.chunks.len());
    Ok(ExitCode::SUCCESS)
}
