//! Calls to a plain service, which answers with one response instead of a stream.

use super::body::read_response;
use super::engine::{CallOutcome, classify_send_error, request_builder};
use super::run_request::RunRequest;
use crate::request_http::PlainResponse;

/// Runs a call and returns the response of the service, whatever its status.
pub(super) fn call(base_url: &str, request: &RunRequest) -> Result<PlainResponse, CallOutcome> {
    let url = format!("{base_url}/{}", request.service_path);
    let response = request_builder(&url, request)
        .header("Content-Type", "application/json")
        .bytes(request.body.clone())
        .send()
        .map_err(|error| classify_send_error(&error))?;
    read_response(response)
}
