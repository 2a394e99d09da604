//! Parses resources from YAML files and reports errors with line numbers.

use masticdock_core::resource::{Resource, ResourceKind};
use masticdock_core::suggest;
use serde::de::DeserializeOwned;

/// One YAML document of a file.
pub(crate) struct Document {
    /// Number of lines in the file before the document.
    lines_before: usize,
    text: String,
}

/// Error for a document that is not a valid resource.
pub(crate) struct YamlError {
    /// Line number in the file, starting at 1.
    pub(crate) line: Option<usize>,
    pub(crate) message: String,
    pub(crate) tip: Option<String>,
}

/// Splits a file into documents at `---` lines, omitting documents that hold only
/// blank lines and comments.
pub(crate) fn documents(text: &str) -> Vec<Document> {
    let mut documents = Vec::new();
    let mut current = Document {
        lines_before: 0,
        text: String::new(),
    };
    for (index, line) in text.lines().enumerate() {
        if line.trim_end() == "---" {
            let next = Document {
                lines_before: index + 1,
                text: String::new(),
            };
            documents.push(std::mem::replace(&mut current, next));
            continue;
        }
        current.text.push_str(line);
        current.text.push('\n');
    }
    documents.push(current);
    documents.retain(|document| document.text.lines().any(has_content));
    documents
}

fn has_content(line: &str) -> bool {
    let line = line.trim();
    !line.is_empty() && !line.starts_with('#')
}

/// Parses one document.
///
/// # Errors
///
/// Returns the line of the error and, if a field name is misspelled, a suggestion.
pub(crate) fn parse_resource(document: &Document) -> Result<Resource, YamlError> {
    let kind = parse_kind(document)?;
    // Errors of a tagged enum carry no line number, so the text is parsed as the
    // concrete type. The `kind` line is left blank to keep the line numbers.
    let mut body = String::with_capacity(document.text.len());
    for line in document.text.lines() {
        if !line.starts_with("kind:") {
            body.push_str(line);
        }
        body.push('\n');
    }
    match kind {
        ResourceKind::Model => parse(document, &body).map(Resource::Model),
        ResourceKind::Version => parse(document, &body).map(Resource::Version),
        ResourceKind::Adapter => parse(document, &body).map(Resource::Adapter),
        ResourceKind::Rollout => parse(document, &body).map(Resource::Rollout),
        ResourceKind::Service => parse(document, &body).map(Resource::Service),
        ResourceKind::Workspace => parse(document, &body).map(Resource::Workspace),
        ResourceKind::VmLabels => parse(document, &body).map(Resource::VmLabels),
        ResourceKind::VmMark => parse(document, &body).map(Resource::VmMark),
    }
}

fn parse_kind(document: &Document) -> Result<ResourceKind, YamlError> {
    for (index, line) in document.text.lines().enumerate() {
        let Some(value) = line.strip_prefix("kind:") else {
            continue;
        };
        let value = value.split(" #").next().unwrap_or_default();
        return value
            .trim()
            .trim_matches(['"', '\''])
            .parse()
            .map_err(|error| YamlError {
                line: Some(document.lines_before + index + 1),
                message: format!("{error}"),
                tip: None,
            });
    }
    Err(YamlError {
        line: Some(document.lines_before + 1),
        message: "the document has no `kind: KIND` line".to_owned(),
        tip: Some("add a line such as `kind: rollout`".to_owned()),
    })
}

fn parse<T: DeserializeOwned>(document: &Document, text: &str) -> Result<T, YamlError> {
    serde_yaml_ng::from_str(text).map_err(|error| {
        let location = error.location();
        let message = error.to_string();
        YamlError {
            line: location.map(|location| document.lines_before + location.line()),
            tip: suggest::for_serde_message(&message),
            message,
        }
    })
}
