//! Calls to a plain service.

use std::io::Read as _;

use compact_str::format_compact;
use masticdock_core::problem::{Problem, ProblemKind};

use super::admit::RunRequest;
use super::engine::{CallEnd, prepare, send_failure};
use crate::request_http::PlainResponse;

/// Largest answer of a plain service.
const ANSWER_BYTES_MAX: u64 = 16 << 20;

/// Runs a call; the answer of the service is passed on whatever its status.
pub(super) fn call(base_url: &str, request: &RunRequest) -> Result<PlainResponse, CallEnd> {
    let url = format!("{base_url}/{}", request.service_path);
    let response = prepare(&url, request)
        .header("Content-Type", "application/json")
        .bytes(request.body.clone())
        .send()
        .map_err(|error| send_failure(&error))?;
    let (status, headers, body) = response.split();
    let text_of = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let announced: Option<usize> = text_of("content-length").and_then(|text| text.parse().ok());
    let mut bytes = Vec::new();
    body.take(ANSWER_BYTES_MAX + 1)
        .read_to_end(&mut bytes)
        .map_err(|error| CallEnd::Broken(error.to_string()))?;
    // The HTTP client reports a body that ends early as complete.
    if announced.is_some_and(|length| length != bytes.len()) {
        return Err(CallEnd::Broken("the answer ended early".to_owned()));
    }
    let unusable = |detail: &str| {
        CallEnd::Failed(Problem::unknown(
            ProblemKind::UpstreamError,
            format_compact!("the service's answer {detail}"),
        ))
    };
    if bytes.len() as u64 > ANSWER_BYTES_MAX {
        return Err(unusable("is over 16 MiB"));
    }
    let Ok(text) = String::from_utf8(bytes) else {
        return Err(unusable("is not UTF-8 text"));
    };
    Ok(PlainResponse {
        status: status.as_u16(),
        content_type: text_of("content-type")
            .unwrap_or("application/json")
            .to_owned(),
        body: text,
    })
}
