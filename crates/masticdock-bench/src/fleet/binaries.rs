//! Paths of the binaries that the launcher starts.

use std::env;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

use anyhow::{Context, ensure};

/// Directory with the binaries, or why they could not be built.
static DIRECTORY: OnceLock<Result<PathBuf, String>> = OnceLock::new();

/// Returns the path of a binary of this workspace; builds all of them on the first call.
///
/// # Errors
///
/// Fails when they cannot be built.
pub fn path_of(binary: &str) -> anyhow::Result<PathBuf> {
    let directory = DIRECTORY.get_or_init(|| build().map_err(|error| format!("{error:#}")));
    match directory {
        Ok(directory) => Ok(directory.join(binary)),
        Err(message) => anyhow::bail!("{message}"),
    }
}

fn build() -> anyhow::Result<PathBuf> {
    let executable = env::current_exe().context("cannot find the own executable")?;
    let mut directory = executable
        .parent()
        .context("the executable has no folder")?;
    // Tests lie in `deps` below the folder of the binaries.
    let in_test = directory.ends_with("deps");
    if in_test {
        directory = directory.parent().context("`deps` has no parent folder")?;
    }
    let target = directory
        .parent()
        .context("the profile has no parent folder")?;
    let manifest = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../Cargo.toml");
    let cargo = env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command
        .args(["build", "--quiet", "--locked", "--workspace", "--bins"])
        .arg("--manifest-path")
        .arg(manifest)
        .arg("--target-dir")
        .arg(target);
    if in_test {
        // Naming a test makes cargo use the features of `cargo test --workspace`,
        // which has built the same binaries already.
        command.args(["--test", "launcher"]);
    }
    if directory.ends_with("release") {
        command.arg("--release");
    }
    let status = command.status().context("cannot run cargo")?;
    ensure!(status.success(), "cargo build of the binaries failed");
    Ok(directory.to_owned())
}
