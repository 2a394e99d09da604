//! Reading of complete response bodies of an upstream.

use std::io::Read as _;

use attohttpc::Response;
use compact_str::format_compact;
use masticdock_core::problem::{Problem, ProblemKind};

use super::engine::CallOutcome;
use crate::request_http::PlainResponse;

/// Maximum size of a response body.
const RESPONSE_BYTES_MAX: u64 = 16 << 20;

/// Maximum size of the text of an error that is read.
const ERROR_BYTES_MAX: u64 = 16 << 10;

/// Reads the beginning of an error's text; a connection that breaks ends it.
pub(super) fn read_error_text(response: Response) -> String {
    let mut bytes = Vec::new();
    let body = response.split().2;
    // What arrived before an error is enough for an excerpt.
    let _ = body.take(ERROR_BYTES_MAX).read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}

fn invalid_response(detail: &str) -> CallOutcome {
    CallOutcome::Failed(Problem::unknown(
        ProblemKind::UpstreamError,
        format_compact!("the upstream's answer {detail}"),
    ))
}

/// Reads a response with its whole body.
///
/// # Errors
///
/// Returns the outcome of the call when the status is none of a final response, or the body
/// ends early, is too large or is no text.
pub(super) fn read_response(response: Response) -> Result<PlainResponse, CallOutcome> {
    let (status, headers, body) = response.split();
    let header_text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let content_length: Option<usize> =
        header_text("content-length").and_then(|text| text.parse().ok());
    let mut bytes = Vec::new();
    body.take(RESPONSE_BYTES_MAX + 1)
        .read_to_end(&mut bytes)
        .map_err(|error| CallOutcome::Broken(error.to_string()))?;
    // The HTTP client reports no error for a body that ends early.
    if content_length.is_some_and(|length| length != bytes.len()) {
        return Err(CallOutcome::Broken("the answer ended early".to_owned()));
    }
    if bytes.len() as u64 > RESPONSE_BYTES_MAX {
        return Err(invalid_response("is over 16 MiB"));
    }
    let Ok(text) = String::from_utf8(bytes) else {
        return Err(invalid_response("is not UTF-8 text"));
    };
    let response = PlainResponse {
        status: status.as_u16(),
        content_type: header_text("content-type")
            .unwrap_or("application/json")
            .to_owned(),
        body: text,
    };
    if !response.is_final() {
        return Err(invalid_response(&format!("has status {}", response.status)));
    }
    Ok(response)
}
