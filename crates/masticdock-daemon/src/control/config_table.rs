//! Client for the configuration rows of the table service.

use masticdock_core::config_log::{
    self, ATTR_BODY, ATTR_REVISION, AcceptedChange, AdoptionError, ConfigState, TableAdoption,
};
use masticdock_core::ids::{ChangeId, Revision};
use masticdock_core::table_row::{RowError, RowWrite};
use masticdock_platform::{Item, ItemKey, PlatformError, TableClient, Write};

/// Maximum number of log rows read by one call.
const LOG_PAGE_LEN: usize = 200;

/// Reports a failed read of the configuration.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConfigReadError {
    /// The call to the table service failed.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// A row is malformed.
    #[error(transparent)]
    Row(#[from] RowError),
    /// A read returned stale rows.
    #[error(transparent)]
    Adoption(#[from] AdoptionError),
}

/// Reads and writes configuration rows.
#[derive(Debug, Clone)]
pub(crate) struct ConfigTable {
    table: TableClient,
}

impl ConfigTable {
    /// Creates a client on top of a table client.
    pub(crate) const fn new(table: TableClient) -> Self {
        Self { table }
    }

    /// Reads the head revision; returns 0 when no change was ever accepted.
    ///
    /// # Errors
    ///
    /// Fails when the call to the table service fails or the row is malformed.
    pub(crate) fn head(&self) -> Result<Revision, ConfigReadError> {
        let key = ItemKey::new(config_log::PK_CONFIG, config_log::SK_HEAD);
        let Some(item) = self.table.get(&key)? else {
            return Ok(Revision(0));
        };
        number(&item, ATTR_REVISION).map(Revision)
    }

    /// Reads all changes above revision `after` from the log.
    ///
    /// # Errors
    ///
    /// Fails when the call to the table service fails or a row is malformed.
    pub(crate) fn log_after(
        &self,
        after: Revision,
    ) -> Result<Vec<AcceptedChange>, ConfigReadError> {
        let mut changes: Vec<AcceptedChange> = Vec::new();
        loop {
            let last = changes.last().map_or(after, |change| change.revision);
            let page = self.page(config_log::PK_LOG, last, LOG_PAGE_LEN)?;
            let complete = page.len() < LOG_PAGE_LEN;
            changes.extend(page);
            if complete {
                return Ok(changes);
            }
        }
    }

    /// Reads up to `limit` rows of the audit trail above revision `after`.
    ///
    /// # Errors
    ///
    /// Fails when the call to the table service fails or a row is malformed.
    pub(crate) fn audit_after(
        &self,
        after: Revision,
        limit: usize,
    ) -> Result<Vec<AcceptedChange>, ConfigReadError> {
        self.page(config_log::PK_AUDIT, after, limit)
    }

    fn page(
        &self,
        pk: &str,
        after: Revision,
        limit: usize,
    ) -> Result<Vec<AcceptedChange>, ConfigReadError> {
        let after_sk = config_log::revision_sort_key(after);
        let mut changes = Vec::new();
        for item in self.table.query_after(pk, &after_sk, limit)? {
            let body = text(&item, ATTR_BODY)?;
            changes.push(config_log::change_from_row(&item.key.sk, body)?);
        }
        Ok(changes)
    }

    /// Reads the whole configuration.
    ///
    /// # Errors
    ///
    /// Fails when a call to the table service fails, a row is malformed, or a read is stale.
    pub(crate) fn adopt(&self) -> Result<ConfigState, ConfigReadError> {
        let first_head = self.head()?;
        let mut resources = Vec::new();
        for item in self.table.query_all(config_log::PK_RESOURCE)? {
            let revision = number(&item, ATTR_REVISION)?;
            let body = text(&item, ATTR_BODY)?;
            resources.push(config_log::resource_from_row(&item.key.sk, revision, body)?);
        }
        let adoption = TableAdoption::new(first_head, resources);
        let second_head = self.head()?;
        let log = if second_head > first_head {
            self.log_after(adoption.log_start())?
        } else {
            Vec::new()
        };
        Ok(adoption.finish(second_head, &log)?)
    }

    /// Returns the revision of the change with this id, or `None` if it was not accepted.
    ///
    /// # Errors
    ///
    /// Fails when the call to the table service fails or the row is malformed.
    pub(crate) fn revision_of(&self, id: &ChangeId) -> Result<Option<Revision>, ConfigReadError> {
        let key = ItemKey::new(config_log::PK_CHANGE, id.as_str());
        let Some(item) = self.table.get(&key)? else {
            return Ok(None);
        };
        number(&item, ATTR_REVISION).map(|revision| Some(Revision(revision)))
    }

    /// Writes the rows of a proposed change in one transaction.
    ///
    /// # Errors
    ///
    /// Returns the error of the table service.
    pub(crate) fn write(&self, writes: &[RowWrite], token: &str) -> Result<(), PlatformError> {
        let writes: Vec<Write> = writes.iter().map(Write::from).collect();
        self.table.transact(&writes, token)
    }
}

fn number(item: &Item, name: &'static str) -> Result<u64, ConfigReadError> {
    let missing = || RowError::new(&item.key.pk, &item.key.sk, format!("no number `{name}`"));
    Ok(item.number(name).ok_or_else(missing)?)
}

fn text<'a>(item: &'a Item, name: &'static str) -> Result<&'a str, ConfigReadError> {
    let missing = || RowError::new(&item.key.pk, &item.key.sk, format!("no text `{name}`"));
    Ok(item.text(name).ok_or_else(missing)?)
}
