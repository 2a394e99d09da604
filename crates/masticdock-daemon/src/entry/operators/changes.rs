//! Handler of `POST /v1/changes`.

use std::cell::RefCell;
use std::thread;
use std::time::{Duration, Instant};

use masticdock_core::config_log::{
    Accepted, AcceptedChange, ApplyOutcome, CHANGE_ID_WRITE_INDEX, ConfigState, Proposal,
    ProposalError, ProposalPorts, TableUnavailableError, WriteOutcome, missing_revision, propose,
    transaction,
};
use masticdock_core::event;
use masticdock_core::ids::{OperatorId, Revision};
use masticdock_core::operator_api::{ChangeAnswer, ChangeRequest, Problem};
use masticdock_core::resource::{ResourceChange, ResourceError, check_references};
use masticdock_core::rollout::{Acceptance, Fleet, check_change};
use masticdock_platform::{PlatformError, PlatformErrorKind};
use tiny_http::Request;

use super::queries::fleet_of;
use super::response::{ApiResult, encode_json};
use super::{Shared, problems};
use crate::control::{ConfigReadError, ControlMsg, Snapshot, unix_now};
use crate::event_log::log_event;
use crate::request_http::{ReadError, read_body};

/// Maximum number of resources in one change; a transaction of the table holds at most 100 rows.
const RESOURCES_MAX: usize = 90;
/// Maximum size of a change as JSON, in bytes; a row of the table holds at most 400 KB.
const CHANGE_BYTES_MAX: usize = 350_000;
/// Maximum time to wait until an accepted change is in force on this entry, so that the operator's
/// next read includes it.
const IN_FORCE_WAIT_MAX: Duration = Duration::from_secs(2);
/// Backoff before the second attempt; it grows by this amount with each further attempt.
const RETRY_BACKOFF: Duration = Duration::from_millis(30);

pub(super) fn handle(shared: &Shared, operator: &OperatorId, request: &mut Request) -> ApiResult {
    let body = read_body(request, shared.limits).map_err(|error| match error {
        ReadError::TooLarge(_) => problems::too_large(format!(
            "send at most {} bytes",
            shared.limits.body_bytes_max
        )),
        ReadError::Disconnected(error) => problems::malformed(&error.to_string()),
    })?;
    let change: ChangeRequest =
        serde_json::from_slice(&body).map_err(|error| problems::malformed(&error.to_string()))?;
    check_size(&change, body.len())?;
    if !shared.control.snapshot().adopted {
        let detail = "this entry has not adopted a configuration yet";
        return Err(problems::table_unavailable(detail));
    }
    if change.dry_run {
        return dry_run(shared, &change);
    }
    propose_change(shared, operator, &change)
}

fn check_size(change: &ChangeRequest, bytes: usize) -> Result<(), Box<Problem>> {
    if change.changes.is_empty() {
        return Err(problems::malformed("the change holds no resource"));
    }
    if change.changes.len() > RESOURCES_MAX {
        return Err(problems::too_large(format!(
            "{} resources, at most {RESOURCES_MAX} are possible",
            change.changes.len()
        )));
    }
    if bytes > CHANGE_BYTES_MAX {
        return Err(problems::too_large(format!(
            "{bytes} bytes, at most {CHANGE_BYTES_MAX} are possible"
        )));
    }
    Ok(())
}

/// Validates a change against a configuration and this entry's view of the fleet.
fn check(
    config: &ConfigState,
    snapshot: &Snapshot,
    changes: &[ResourceChange],
) -> Result<Acceptance, ResourceError> {
    let fleet = Fleet {
        config,
        ..fleet_of(snapshot)
    };
    let acceptance = check_change(&fleet, changes)?;
    check_references(config, changes)?;
    Ok(acceptance)
}

fn outage(error: &ConfigReadError) -> TableUnavailableError {
    TableUnavailableError(error.to_string())
}

/// Returns the configuration at the head revision of the table.
fn state_at_head(shared: &Shared) -> Result<ConfigState, TableUnavailableError> {
    let head = shared.table.head().map_err(|error| outage(&error))?;
    let snapshot = shared.control.snapshot();
    let mut state = ConfigState::clone(&snapshot.config);
    if head <= state.revision() {
        return Ok(state);
    }
    let log = shared.table.log_after(state.revision());
    for change in log.map_err(|error| outage(&error))? {
        if let ApplyOutcome::Gap { missing } = state.apply(&change) {
            return Err(no_log_row(missing));
        }
    }
    Ok(state)
}

/// Returns all changes above a revision.
fn changes_after(
    shared: &Shared,
    after: Revision,
) -> Result<Vec<AcceptedChange>, TableUnavailableError> {
    let log = shared.table.log_after(after);
    let log = log.map_err(|error| outage(&error))?;
    let last = log.last().map_or(after, |change| change.revision);
    match missing_revision(after, last, &log) {
        Some(missing) => Err(no_log_row(missing)),
        None => Ok(log),
    }
}

fn no_log_row(missing: Revision) -> TableUnavailableError {
    TableUnavailableError(format!("the log has no row for revision {missing}"))
}

/// Validates a change without writing it.
fn dry_run(shared: &Shared, change: &ChangeRequest) -> ApiResult {
    let state = state_at_head(shared).map_err(|error| problems::table_unavailable(error.0))?;
    if change
        .expected_revision
        .is_some_and(|r| r > state.revision())
    {
        return Err(problems::unknown_revision(
            change.expected_revision.unwrap_or_default(),
        ));
    }
    let snapshot = shared.control.snapshot();
    let acceptance =
        check(&state, &snapshot, &change.changes).map_err(|error| problems::invalid(&error))?;
    encode_json(&change_answer(state.revision(), acceptance))
}

fn change_answer(revision: Revision, acceptance: Acceptance) -> ChangeAnswer {
    ChangeAnswer {
        revision,
        warnings: acceptance.warnings,
        matched: acceptance.matched,
    }
}

/// Returns the client request token of one write, with which the table applies a retried write only
/// once.
fn write_token(change: &AcceptedChange) -> String {
    let name = format!("{}/{}", change.change_id, change.revision);
    blake3::hash(name.as_bytes()).to_hex()[..32].to_owned()
}

fn write(shared: &Shared, change: &AcceptedChange) -> WriteOutcome {
    let token = write_token(change);
    match shared.table.write(&transaction(change), &token) {
        Ok(()) => WriteOutcome::Written,
        Err(error) => write_outcome(error),
    }
}

fn write_outcome(error: PlatformError) -> WriteOutcome {
    let text = error.to_string();
    match error.kind {
        PlatformErrorKind::ConditionFailed(writes) => {
            if writes.contains(&CHANGE_ID_WRITE_INDEX) {
                WriteOutcome::ChangeIdExists
            } else {
                WriteOutcome::HeadMoved
            }
        }
        // The table also reports this for a transaction that a concurrent one cancelled, which
        // had no effect.
        PlatformErrorKind::Throttled => WriteOutcome::HeadMoved,
        PlatformErrorKind::NotSent => WriteOutcome::NotWritten(text),
        PlatformErrorKind::Rejected | PlatformErrorKind::NotFound => WriteOutcome::Rejected(text),
        _ => WriteOutcome::Unknown(text),
    }
}

/// Proposes a change to the table and waits until it is in force on this entry.
fn propose_change(shared: &Shared, operator: &OperatorId, change: &ChangeRequest) -> ApiResult {
    let acceptance = RefCell::new(Acceptance::default());
    let proposal = Proposal {
        change_id: change.change_id.clone(),
        operator: operator.clone(),
        expected: change.expected_revision,
        keys: change.changes.iter().map(ResourceChange::key).collect(),
        proposed_at: unix_now(),
    };
    let result = propose(
        &proposal,
        &mut ProposalPorts {
            revision_of: &mut |id| shared.table.revision_of(id).map_err(|e| outage(&e)),
            state_at_head: &mut || state_at_head(shared),
            changes_after: &mut |after| changes_after(shared, after),
            check: &mut |state| {
                let snapshot = shared.control.snapshot();
                let checked = check(state, &snapshot, &change.changes)?;
                let changes = checked.changes.clone();
                *acceptance.borrow_mut() = checked;
                Ok::<_, ResourceError>(changes)
            },
            write: &mut |change| write(shared, change),
            backoff: &mut |attempt| thread::sleep(RETRY_BACKOFF * attempt),
        },
    );
    match result {
        Ok(accepted) => {
            let revision = publish_accepted(shared, operator, change, accepted);
            encode_json(&change_answer(revision, acceptance.into_inner()))
        }
        Err(error) => Err(proposal_problem(error, change)),
    }
}

/// Logs an accepted change, hands it to the control thread and returns its revision.
fn publish_accepted(
    shared: &Shared,
    operator: &OperatorId,
    change: &ChangeRequest,
    accepted: Accepted,
) -> Revision {
    let revision = match &accepted {
        Accepted::Now(change) => change.revision,
        Accepted::Earlier(revision) => *revision,
    };
    log_event!(
        event::CHANGE_ACCEPTED,
        "change {} by {operator} accepted as revision {revision}",
        change.change_id
    );
    if let Accepted::Now(change) = accepted {
        shared.control.send(ControlMsg::Accepted(change));
    }
    wait_until_in_force(shared, revision);
    revision
}

/// Waits until `revision` is in force on this entry or [`IN_FORCE_WAIT_MAX`] has passed.
fn wait_until_in_force(shared: &Shared, revision: Revision) {
    let deadline = Instant::now() + IN_FORCE_WAIT_MAX;
    let mut snapshot = shared.control.snapshot();
    while snapshot.config.revision() < revision {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return;
        }
        snapshot = shared.control.snapshots.wait_newer(snapshot.seq, left);
    }
}

fn proposal_problem(error: ProposalError<ResourceError>, change: &ChangeRequest) -> Box<Problem> {
    let id = &change.change_id;
    match error {
        ProposalError::Conflict(other) => {
            log_event!(
                event::CHANGE_CONFLICT,
                "change {id} conflicts with change {} by {}",
                other.change_id,
                other.operator
            );
            problems::conflict(*other)
        }
        ProposalError::UnknownRevision(revision) => problems::unknown_revision(revision),
        ProposalError::Invalid(error) => problems::invalid(&error),
        ProposalError::TableUnavailable(reason) => {
            log_event!(
                event::CHANGE_TABLE_UNAVAILABLE,
                "change {id} not accepted: {reason}"
            );
            problems::table_unavailable(reason)
        }
        ProposalError::Rejected(reason) => problems::too_large(reason),
        ProposalError::OutcomeUnknown(reason) => {
            log_event!(
                event::CHANGE_OUTCOME_UNKNOWN,
                "change {id} has an unknown outcome: {reason}"
            );
            problems::outcome_unknown(reason)
        }
    }
}
