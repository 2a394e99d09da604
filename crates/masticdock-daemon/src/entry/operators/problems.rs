//! Problems that the operators' API responds with.

use compact_str::CompactString;
use masticdock_core::config_log::AcceptedChange;
use masticdock_core::ids::Revision;
use masticdock_core::operator_api::Problem;
use masticdock_core::resource::ResourceError;

fn problem(
    type_name: &'static str,
    status: u16,
    title: &str,
    detail: impl Into<String>,
    tip: &str,
) -> Box<Problem> {
    Box::new(Problem {
        type_name: CompactString::const_new(type_name),
        title: title.to_owned(),
        status,
        detail: detail.into(),
        tip: Some(tip.to_owned()),
        ..Problem::default()
    })
}

pub(super) fn unauthorized() -> Box<Problem> {
    problem(
        "unauthorized",
        401,
        "the operator token is missing or wrong",
        "",
        "send `Authorization: Bearer <token>` with a token of the entry's `operator_tokens_file`",
    )
}

pub(super) fn not_found(detail: &str) -> Box<Problem> {
    problem(
        "not-found",
        404,
        "there is no such resource",
        detail,
        "list the names with `masticdock get`",
    )
}

pub(super) fn malformed(detail: &str) -> Box<Problem> {
    problem(
        "invalid",
        400,
        "the request cannot be read",
        detail,
        "use the `masticdock` of the same release as the entry",
    )
}

pub(super) fn invalid(error: &ResourceError) -> Box<Problem> {
    let mut problem = problem(
        "invalid",
        422,
        "the change cannot be accepted",
        error.to_string(),
        error.tip(),
    );
    problem.field = Some(error.field().to_owned());
    problem
}

pub(super) fn unknown_revision(revision: Revision) -> Box<Problem> {
    let mut problem = problem(
        "invalid",
        422,
        "the change cannot be accepted",
        format!("there is no revision {revision} yet"),
        "leave out `expected_revision` or use the one of the last answer",
    );
    problem.field = Some("expected_revision".to_owned());
    problem
}

pub(super) fn too_large(detail: impl Into<String>) -> Box<Problem> {
    problem(
        "too-large",
        413,
        "the change is too large",
        detail,
        "split it into several changes",
    )
}

pub(super) fn conflict(other: AcceptedChange) -> Box<Problem> {
    let detail = format!(
        "revision {} by {} changed the same resource",
        other.revision, other.operator
    );
    let mut problem = problem(
        "conflict",
        409,
        "another change got in the way; nothing was written",
        detail,
        "look at the other change, then propose yours again",
    );
    problem.other_change = Some(other);
    problem
}

pub(super) fn table_unavailable(detail: impl Into<String>) -> Box<Problem> {
    problem(
        "table-unavailable",
        503,
        "the table service does not answer; nothing was written",
        detail,
        "requests keep being served at the revision in force; try again later",
    )
}

pub(super) fn outcome_unknown(detail: impl Into<String>) -> Box<Problem> {
    problem(
        "outcome-unknown",
        504,
        "the change may have been accepted",
        detail,
        "send it again with the same change id, or look for the id in `masticdock audit`",
    )
}

pub(super) fn internal(detail: &str) -> Box<Problem> {
    problem(
        "internal",
        500,
        "the entry could not answer",
        detail,
        "report this as a fault of masticdock",
    )
}
