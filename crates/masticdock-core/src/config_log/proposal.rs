//! Proposal of a change and resolution of lost answers.

use std::collections::BTreeSet;

use super::{AcceptedChange, ConfigState};
use crate::ids::{ChangeId, OperatorId, Revision};
use crate::resource::{ResourceChange, ResourceKey};
use crate::units::UnixMs;

/// Writes tried for one proposal while other changes get in between.
const ATTEMPTS_MAX: u32 = 8;

/// The table service does not answer or refused for its rate limit.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct TableUnavailableError(pub String);

/// Result of one conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The change took effect.
    Written,
    /// A row with the change id exists.
    ChangeIdExists,
    /// The head is not the one expected.
    HeadMoved,
    /// The answer was lost; the write may have taken effect or may still do so.
    Unknown(String),
    /// The write had no effect: the service was not reached or is overloaded.
    NotWritten(String),
    /// The service refuses the write as such.
    Rejected(String),
}

/// Access to the table and the check of a change, all supplied by the caller.
pub struct ProposalPorts<'a, E> {
    /// Reads the revision that the change with this id made.
    pub revision_of:
        &'a mut dyn FnMut(&ChangeId) -> Result<Option<Revision>, TableUnavailableError>,
    /// Reads the configuration of the head.
    pub state_at_head: &'a mut dyn FnMut() -> Result<ConfigState, TableUnavailableError>,
    /// Reads the changes above a revision.
    pub changes_after:
        &'a mut dyn FnMut(Revision) -> Result<Vec<AcceptedChange>, TableUnavailableError>,
    /// Checks the change against a configuration and returns what to write.
    pub check: &'a mut dyn FnMut(&ConfigState) -> Result<Vec<ResourceChange>, E>,
    /// Writes the transaction of a change.
    pub write: &'a mut dyn FnMut(&AcceptedChange) -> WriteOutcome,
    /// Waits before the attempt with this number, counted from 1.
    pub backoff: &'a mut dyn FnMut(u32),
}

impl<E> std::fmt::Debug for ProposalPorts<'_, E> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("ProposalPorts")
    }
}

/// A change that an operator proposes.
#[derive(Debug, Clone, PartialEq)]
pub struct Proposal {
    /// Id made by the client.
    pub change_id: ChangeId,
    /// The operator.
    pub operator: OperatorId,
    /// Revision that the operator looked at; `None` takes the newest one.
    pub expected: Option<Revision>,
    /// Resources that change.
    pub keys: BTreeSet<ResourceKey>,
    /// Time of the proposal.
    pub proposed_at: UnixMs,
}

/// How an accepted proposal was accepted.
#[derive(Debug, Clone, PartialEq)]
pub enum Accepted {
    /// By this call.
    Now(AcceptedChange),
    /// By an earlier call with the same id, or by a write whose answer was lost.
    Earlier(Revision),
}

/// Why a proposal was not accepted.
#[derive(Debug, Clone, PartialEq)]
pub enum ProposalError<E> {
    /// Another change got in the way; nothing was written.
    Conflict(Box<AcceptedChange>),
    /// The revision that the operator looked at does not exist.
    UnknownRevision(Revision),
    /// The check failed; nothing was written.
    Invalid(E),
    /// Nothing was written, because the table does not answer.
    TableUnavailable(String),
    /// The table refuses the write; nothing was written.
    Rejected(String),
    /// The change may have been accepted; a call with the same id tells.
    OutcomeUnknown(String),
}

struct Attempt<'a, 'p, E> {
    proposal: &'a Proposal,
    ports: &'a mut ProposalPorts<'p, E>,
    base: Option<Revision>,
    /// Set once a write was sent whose outcome is not known.
    uncertain: Option<String>,
}

impl<E> Attempt<'_, '_, E> {
    fn down(&self, error: &TableUnavailableError) -> ProposalError<E> {
        match &self.uncertain {
            Some(reason) => ProposalError::OutcomeUnknown(reason.clone()),
            None => ProposalError::TableUnavailable(error.0.clone()),
        }
    }

    /// Looks at the changes since the base: finds the own one, which may have
    /// taken effect since its id was read, or one that touches a resource of it.
    fn look_back(&mut self, head: Revision) -> Result<Option<Accepted>, ProposalError<E>> {
        let base = *self.base.get_or_insert(head);
        if base > head {
            return Err(ProposalError::UnknownRevision(base));
        }
        if base == head {
            return Ok(None);
        }
        let changes = (self.ports.changes_after)(base).map_err(|error| self.down(&error))?;
        let id = &self.proposal.change_id;
        if let Some(own) = changes.iter().find(|change| change.change_id == *id) {
            return Ok(Some(Accepted::Earlier(own.revision)));
        }
        for change in changes {
            let mut keys = change.changes.iter().map(ResourceChange::key);
            if keys.any(|key| self.proposal.keys.contains(&key)) {
                return Err(ProposalError::Conflict(Box::new(change)));
            }
        }
        Ok(None)
    }

    /// Reads the id back, then writes; `None` asks for another attempt.
    fn run(&mut self) -> Result<Option<Accepted>, ProposalError<E>> {
        let id = &self.proposal.change_id;
        let found = (self.ports.revision_of)(id).map_err(|error| self.down(&error))?;
        if let Some(revision) = found {
            return Ok(Some(Accepted::Earlier(revision)));
        }
        let state = (self.ports.state_at_head)().map_err(|error| self.down(&error))?;
        if let Some(accepted) = self.look_back(state.revision())? {
            return Ok(Some(accepted));
        }
        let changes = (self.ports.check)(&state).map_err(ProposalError::Invalid)?;
        let change = AcceptedChange {
            revision: state.revision().next(),
            change_id: id.clone(),
            operator: self.proposal.operator.clone(),
            accepted_at_unix_ms: self.proposal.proposed_at,
            changes,
        };
        match (self.ports.write)(&change) {
            WriteOutcome::Written => Ok(Some(Accepted::Now(change))),
            WriteOutcome::ChangeIdExists | WriteOutcome::HeadMoved => Ok(None),
            WriteOutcome::Unknown(reason) => {
                self.uncertain = Some(reason);
                Ok(None)
            }
            WriteOutcome::NotWritten(reason) => Err(self.down(&TableUnavailableError(reason))),
            WriteOutcome::Rejected(reason) => Err(match self.uncertain.take() {
                Some(earlier) => ProposalError::OutcomeUnknown(earlier),
                None => ProposalError::Rejected(reason),
            }),
        }
    }
}

/// Proposes a change until it is accepted or refused.
///
/// Each attempt first reads the change id back. Writing again after a lost
/// answer is safe: both writes put the same change id under the condition "does
/// not exist", so at most one takes effect, however late the first one does.
///
/// # Errors
///
/// Only [`ProposalError::OutcomeUnknown`] leaves open whether the change was
/// accepted; after every other error it was not and will not be.
pub fn propose<E>(
    proposal: &Proposal,
    ports: &mut ProposalPorts<'_, E>,
) -> Result<Accepted, ProposalError<E>> {
    let mut attempt = Attempt {
        proposal,
        ports,
        base: proposal.expected,
        uncertain: None,
    };
    for number in 1..=ATTEMPTS_MAX {
        match attempt.run() {
            Ok(None) => (attempt.ports.backoff)(number),
            Ok(Some(accepted)) => return Ok(accepted),
            Err(error) => return Err(attempt.certain(error)),
        }
    }
    Err(match attempt.uncertain {
        Some(reason) => ProposalError::OutcomeUnknown(reason),
        None => ProposalError::TableUnavailable("other changes kept getting in between".to_owned()),
    })
}

impl<E> Attempt<'_, '_, E> {
    /// Replaces a refusal by "unknown" while an earlier write may still take effect.
    fn certain(&mut self, error: ProposalError<E>) -> ProposalError<E> {
        let Some(reason) = self.uncertain.take() else {
            return error;
        };
        match error {
            // The earlier write expected a head that has moved, so it cannot take effect any more.
            ProposalError::Conflict(_) => error,
            _ => ProposalError::OutcomeUnknown(reason),
        }
    }
}
