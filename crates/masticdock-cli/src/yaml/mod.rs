//! Resources in YAML files, with errors that name the line.

use masticdock_core::resource::{Resource, ResourceKind};
use masticdock_core::suggest;
use serde::de::DeserializeOwned;

/// One document of a file.
pub(crate) struct Document {
    /// Lines of the file before the document.
    lines_before: usize,
    text: String,
}

/// Reports a document that is no resource.
pub(crate) struct YamlError {
    /// Line in the file, from 1.
    pub(crate) line: Option<usize>,
    pub(crate) message: String,
    pub(crate) tip: Option<String>,
}

/// Splits a file at the `---` lines; documents without content are left out.
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
/// Names the line, and the field that was probably meant.
pub(crate) fn parse_resource(document: &Document) -> Result<Resource, YamlError> {
    let kind = parse_kind(document)?;
    // A tagged enum loses the line of an error, so the kind is taken out and the
    // rest is parsed as the type of that kind.
    let mut rest = String::with_capacity(document.text.len());
    for line in document.text.lines() {
        if !line.starts_with("kind:") {
            rest.push_str(line);
        }
        rest.push('\n');
    }
    match kind {
        ResourceKind::Model => parse(document, &rest).map(Resource::Model),
        ResourceKind::Version => parse(document, &rest).map(Resource::Version),
        ResourceKind::Adapter => parse(document, &rest).map(Resource::Adapter),
        ResourceKind::Rollout => parse(document, &rest).map(Resource::Rollout),
        ResourceKind::Service => parse(document, &rest).map(Resource::Service),
        ResourceKind::Workspace => parse(document, &rest).map(Resource::Workspace),
        ResourceKind::VmLabels => parse(document, &rest).map(Resource::VmLabels),
        ResourceKind::VmMark => parse(document, &rest).map(Resource::VmMark),
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
        message: "the document has no line `kind: KIND`".to_owned(),
        tip: Some("start it with for example `kind: rollout`".to_owned()),
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
