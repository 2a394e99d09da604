//! Builds and locates the binaries that the launcher starts.

use std::env;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

use anyhow::{Context, ensure};

/// Directory that contains the binaries, or the error message of the failed build.
static DIRECTORY: OnceLock<Result<PathBuf, String>> = OnceLock::new();

/// Returns the path of a binary of this Cargo workspace, building all binaries on the first call.
///
/// # Errors
///
/// Returns an error if the build fails.
pub fn path_of(binary: &str) -> anyhow::Result<PathBuf> {
    let directory = DIRECTORY.get_or_init(|| build().map_err(|error| format!("{error:#}")));
    match directory {
        Ok(directory) => Ok(directory.join(binary)),
        Err(message) => anyhow::bail!("{message}"),
    }
}

fn build() -> anyhow::Result<PathBuf> {
    let executable =
        env::current_exe().context("cannot determine the path of the current executable")?;
    let mut directory = executable
        .parent()
        .context("the current executable has no parent directory")?;
    // Cargo puts test executables into `deps`, below the directory of the binaries.
    let is_test = directory.ends_with("deps");
    if is_test {
        directory = directory
            .parent()
            .context("`deps` has no parent directory")?;
    }
    let target = directory
        .parent()
        .context("the profile directory has no parent directory")?;
    let manifest = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../Cargo.toml");
    let cargo = env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command
        .args(["build", "--quiet", "--locked", "--workspace", "--bins"])
        .arg("--manifest-path")
        .arg(manifest)
        .arg("--target-dir")
        .arg(target);
    if is_test {
        // Naming a test target makes cargo resolve the same features as
        // `cargo test --workspace`, so the binaries built there are reused.
        command.args(["--test", "launcher"]);
    }
    if directory.ends_with("release") {
        command.arg("--release");
    }
    let status = command.status().context("cannot run cargo")?;
    ensure!(status.success(), "cargo build of the binaries failed");
    Ok(directory.to_owned())
}
