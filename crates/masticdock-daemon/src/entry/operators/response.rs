//! JSON responses to operators.

use masticdock_core::operator_api::Problem;
use serde::Serialize;
use tiny_http::Request;

use super::problems;
use crate::request_http::respond;

/// Body of a successful response, or a problem.
pub(super) type ApiResult = Result<Vec<u8>, Box<Problem>>;

/// Encodes the body of a successful response.
pub(super) fn encode_json(body: &impl Serialize) -> ApiResult {
    serde_json::to_vec(body).map_err(|error| problems::internal(&error.to_string()))
}

/// Sends a response.
pub(super) fn send(request: Request, result: ApiResult) {
    match result {
        Ok(body) => respond(request, 200, "application/json", &[], body),
        Err(problem) => {
            let body = serde_json::to_vec(&problem).unwrap_or_default();
            let headers = match problem.status {
                401 => vec![("WWW-Authenticate", "Bearer".to_owned())],
                503 => vec![("Retry-After", "2".to_owned())],
                _ => Vec::new(),
            };
            let media_type = "application/problem+json";
            respond(request, problem.status, media_type, &headers, body);
        }
    }
}
