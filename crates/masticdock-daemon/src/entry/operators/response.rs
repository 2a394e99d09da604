//! Answers as JSON.

use masticdock_core::operator_api::Problem;
use serde::Serialize;
use tiny_http::Request;

use super::problems;
use crate::request_http::respond;

/// Body of a successful answer, or a problem.
pub(super) type Answer = Result<Vec<u8>, Box<Problem>>;

/// Encodes the body of a successful answer.
pub(super) fn json(body: &impl Serialize) -> Answer {
    serde_json::to_vec(body).map_err(|error| problems::internal(&error.to_string()))
}

/// Sends an answer.
pub(super) fn send(request: Request, answer: Answer) {
    match answer {
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
