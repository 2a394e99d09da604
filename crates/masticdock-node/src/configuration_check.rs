//! Check of a configuration file before it is sent.

use std::path::Path;

use masticdock_adapter::decode_declared_configuration;
use masticdock_core::serving::{
    DeclaredConfiguration, Finding, Severity, check_configuration, compare_configurations,
};

/// Result of the check of a configuration file.
#[derive(Debug)]
pub struct ConfigurationReport {
    /// Findings, errors first.
    pub findings: Vec<Finding>,
    /// What differs from the configuration in force; empty if none was given.
    pub differences: Vec<String>,
}

impl ConfigurationReport {
    /// Returns whether a finding is an error.
    #[must_use]
    pub fn has_errors(&self) -> bool {
        let mut findings = self.findings.iter();
        findings.any(|finding| finding.severity == Severity::Error)
    }
}

/// Error returned when a configuration file cannot be checked.
#[derive(Debug, thiserror::Error)]
pub enum CheckError {
    /// The file cannot be read.
    #[error("cannot read `{0}`: {1}; tip: name a file with the value of the configuration row")]
    Unreadable(String, std::io::Error),
    /// The file holds no configuration.
    #[error("`{0}` holds no configuration: {1}; tip: correct the field named")]
    Invalid(String, serde_json::Error),
}

/// Checks a configuration file, and compares it with the one in force.
///
/// # Errors
///
/// Returns an error if a file cannot be read or holds no configuration.
pub fn check_configuration_file(
    path: &Path,
    in_force: Option<&Path>,
) -> Result<ConfigurationReport, CheckError> {
    let configuration = read(path)?;
    let differences = match in_force {
        Some(path) => compare_configurations(&read(path)?, &configuration),
        None => Vec::new(),
    };
    Ok(ConfigurationReport {
        findings: check_configuration(&configuration),
        differences,
    })
}

fn read(path: &Path) -> Result<DeclaredConfiguration, CheckError> {
    let name = || path.display().to_string();
    let text =
        std::fs::read_to_string(path).map_err(|error| CheckError::Unreadable(name(), error))?;
    decode_declared_configuration(&text).map_err(|error| CheckError::Invalid(name(), error))
}
