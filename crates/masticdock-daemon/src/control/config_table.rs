//! Client for the configuration rows of the table service.

use masticdock_core::config_log::{
    self, ATTR_BODY, ATTR_REVISION, AcceptedChange, AdoptionError, ConfigState, StoredResource,
    TableAdoption,
};
use masticdock_core::event;
use masticdock_core::ids::{ChangeId, Revision};
use masticdock_core::table_row::{RowError, RowWrite};
use masticdock_platform::{Item, ItemKey, PlatformError, TableClient, Write};

use crate::event_log::log_event;

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

    /// Reads all changes above revision `after` from the log, without rows that cannot be read.
    ///
    /// # Errors
    ///
    /// Fails when the call to the table service fails.
    pub(crate) fn log_after(
        &self,
        after: Revision,
    ) -> Result<Vec<AcceptedChange>, ConfigReadError> {
        let mut changes: Vec<AcceptedChange> = Vec::new();
        let mut after = config_log::revision_sort_key(after);
        loop {
            let page = self
                .table
                .query_page(config_log::PK_LOG, &after, LOG_PAGE_LEN)?;
            changes.extend(readable_changes(&page.items));
            match page.next {
                Some(next) => after = next,
                None => return Ok(changes),
            }
        }
    }

    /// Reads up to `limit` rows of the audit trail above revision `after`, without those that cannot be
    /// read.
    ///
    /// # Errors
    ///
    /// Fails when the call to the table service fails.
    pub(crate) fn audit_after(
        &self,
        after: Revision,
        limit: usize,
    ) -> Result<Vec<AcceptedChange>, ConfigReadError> {
        let after = config_log::revision_sort_key(after);
        let items = self
            .table
            .query_after(config_log::PK_AUDIT, &after, limit)?;
        Ok(readable_changes(&items))
    }

    /// Reads the whole configuration, without resources whose rows cannot be read.
    ///
    /// # Errors
    ///
    /// Fails when a call to the table service fails, the head is malformed, or a read is stale.
    pub(crate) fn adopt(&self) -> Result<ConfigState, ConfigReadError> {
        let first_head = self.head()?;
        let mut resources = Vec::new();
        for item in self.table.query_all(config_log::PK_RESOURCE)? {
            match read_resource(&item) {
                Ok(resource) => resources.push(resource),
                Err(error) => pass_over(&error),
            }
        }
        let mut second_head = self.head()?;
        if resources.iter().any(|stored| stored.revision > second_head) {
            second_head = self.head()?;
        }
        // Each transaction writes both, so a row that stays above the head is of another writer.
        resources.retain(|stored| {
            let is_known = stored.revision <= second_head;
            if !is_known {
                let key = stored.resource.key();
                pass_over(&format_args!("{key} has revision {}", stored.revision));
            }
            is_known
        });
        let adoption = TableAdoption::new(first_head, resources);
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

/// Returns the changes of those rows that can be read.
fn readable_changes(items: &[Item]) -> Vec<AcceptedChange> {
    let mut changes = Vec::with_capacity(items.len());
    for item in items {
        let change = text(item, ATTR_BODY)
            .and_then(|body| Ok(config_log::change_from_row(&item.key.sk, body)?));
        match change {
            Ok(change) => changes.push(change),
            Err(error) => pass_over(&error),
        }
    }
    changes
}

fn read_resource(item: &Item) -> Result<StoredResource, ConfigReadError> {
    let revision = number(item, ATTR_REVISION)?;
    let body = text(item, ATTR_BODY)?;
    Ok(config_log::resource_from_row(&item.key.sk, revision, body)?)
}

/// Logs a row that is passed over, so that a row of another writer does not hide the others.
fn pass_over(error: &dyn std::fmt::Display) {
    log_event!(event::CONFIG_ROW_UNREADABLE, "{error}");
}

fn number(item: &Item, name: &'static str) -> Result<u64, ConfigReadError> {
    let missing = || RowError::new(&item.key.pk, &item.key.sk, format!("no number `{name}`"));
    Ok(item.number(name).ok_or_else(missing)?)
}

fn text<'a>(item: &'a Item, name: &'static str) -> Result<&'a str, ConfigReadError> {
    let missing = || RowError::new(&item.key.pk, &item.key.sk, format!("no text `{name}`"));
    Ok(item.text(name).ok_or_else(missing)?)
}
