//! Storage of the configuration in the platform's table.
//!
//! A change writes three rows in one transaction: the head, which holds the
//! highest accepted revision, the changed entry, and an audit row per revision.

use filbertpaddle_core::config::Change;
use filbertpaddle_core::config::ChangeId;
use filbertpaddle_core::config::Key;
use filbertpaddle_core::config::Record;
use filbertpaddle_core::edit::Commit;
use filbertpaddle_core::edit::Event;
use filbertpaddle_core::edit::Row;
use filbertpaddle_core::edit::Snapshot;
use filbertpaddle_core::replica::MAX_RECENT_CHANGES;
use filbertpaddle_core::replica::Page;
use filbertpaddle_core::revision::Revision;
use filbertpaddle_platform::client::Client;
use filbertpaddle_platform::protocol;
use filbertpaddle_platform::protocol::Condition;
use filbertpaddle_platform::protocol::Scan;
use filbertpaddle_platform::protocol::TransactAnswer;
use filbertpaddle_platform::protocol::Transaction;
use filbertpaddle_platform::protocol::Write;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Key of the row with the highest accepted revision.
pub const HEAD_KEY: &str = "config/head";
/// Prefix of the keys of entries.
pub const ENTRY_PREFIX: &str = "config/entry/";
/// Prefix of the keys of audit rows.
pub const AUDIT_PREFIX: &str = "audit/";
/// Maximum number of entries read in one scan.
const PAGE_ROWS: u32 = 200;
/// Number of latest audit rows searched for a resent change.
const RESEND_SEARCH_ROWS: u32 = 500;

/// Error of reading the configuration.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The request to the platform failed.
    #[error(transparent)]
    Platform(#[from] filbertpaddle_platform::error::Error),
    /// A row's value cannot be decoded.
    #[error("row {key} is malformed: {source}")]
    Malformed {
        /// Key of the row.
        key: String,
        /// Why decoding failed.
        source: serde_json::Error,
    },
}

/// Returns the key of an entry's row.
pub fn entry_key(key: &Key) -> String {
    format!("{ENTRY_PREFIX}{key}")
}

/// Returns the key of a revision's audit row.
pub fn audit_key(revision: Revision) -> String {
    format!("{AUDIT_PREFIX}{:020}", revision.0)
}

/// Reads the highest accepted revision.
///
/// # Errors
///
/// Returns [`Error`] if the row cannot be read.
pub async fn read_head(platform: &Client) -> Result<Revision, Error> {
    let rows = platform.read(vec![HEAD_KEY.to_owned()]).await?.rows;
    rows.first().map_or(Ok(Revision::ZERO), decode)
}

/// Reads audit rows after a revision, in order.
///
/// # Errors
///
/// Returns [`Error`] if a row cannot be read.
pub async fn read_audit(
    platform: &Client,
    after: Revision,
    limit: u32,
) -> Result<Vec<Record>, Error> {
    let scan = Scan {
        prefix: AUDIT_PREFIX.to_owned(),
        after: Some(audit_key(after)),
        limit,
    };
    let rows = platform.scan(&scan).await?.rows;
    rows.iter().map(decode).collect()
}

/// Searches the latest audit rows up to a revision for a change by its id.
///
/// # Errors
///
/// Returns [`Error`] if a row cannot be read.
pub async fn find_change(
    platform: &Client,
    id: ChangeId,
    up_to: Revision,
) -> Result<Option<Revision>, Error> {
    let after = Revision(up_to.0.saturating_sub(u64::from(RESEND_SEARCH_ROWS)));
    let records = read_audit(platform, after, RESEND_SEARCH_ROWS).await?;
    let found = records.iter().find(|record| record.change.id == id);
    Ok(found.map(|record| record.change.revision))
}

/// Reads the changes after a revision, in order.
///
/// # Errors
///
/// Returns [`Error`] if a row cannot be read.
pub async fn read_log(platform: &Client, after: Revision) -> Result<Vec<Change>, Error> {
    let limit = u32::try_from(MAX_RECENT_CHANGES).unwrap_or(u32::MAX);
    let records = read_audit(platform, after, limit).await?;
    Ok(records.into_iter().map(|record| record.change).collect())
}

/// Reads a page of entries after a key.
///
/// `head` is the revision that was read before the first page; the page carries it.
///
/// # Errors
///
/// Returns [`Error`] if a row cannot be read.
pub async fn read_page(
    platform: &Client,
    head: Revision,
    after: Option<&Key>,
) -> Result<Page, Error> {
    let scan = Scan {
        prefix: ENTRY_PREFIX.to_owned(),
        after: after.map(entry_key),
        limit: PAGE_ROWS,
    };
    let rows = platform.scan(&scan).await?.rows;
    let changes = rows.iter().map(decode).collect::<Result<_, _>>()?;
    Ok(Page {
        head,
        changes,
        last: rows.len() < PAGE_ROWS as usize,
    })
}

/// Reads the rows that an edit needs, consistently at one revision of the table.
///
/// # Errors
///
/// Returns [`Error`] if a row cannot be read.
pub async fn read_snapshot(
    platform: &Client,
    key: &Key,
    audit: Option<Revision>,
) -> Result<Snapshot, Error> {
    let entry_key = entry_key(key);
    let audit_key = audit.map(audit_key);
    let keys = [HEAD_KEY.to_owned(), entry_key.clone()];
    let keys = keys.into_iter().chain(audit_key.clone()).collect();
    let rows = platform.read(keys).await?.rows;
    let mut snapshot = Snapshot::default();
    for row in &rows {
        if row.key == HEAD_KEY {
            snapshot.head = Some(decode_versioned(row)?);
        } else if row.key == entry_key {
            snapshot.entry = Some(decode_versioned(row)?);
        } else if Some(&row.key) == audit_key.as_ref() {
            snapshot.audit = Some(decode::<Record>(row)?.change.id);
        }
    }
    Ok(snapshot)
}

/// Runs an edit's transaction and returns its result as an event of the edit.
pub async fn commit(platform: &Client, commit: &Commit) -> Event {
    let Ok(transaction) = transaction(commit) else {
        return Event::Refused;
    };
    match platform.transact(&transaction).await {
        Ok(TransactAnswer::Committed { .. }) => Event::Committed,
        Ok(TransactAnswer::Conflict { .. }) => Event::Conflict,
        Err(error) if error.is_not_done() => Event::Refused,
        Err(_) => Event::NoAnswer,
    }
}

/// Returns the writes that store a change: head, entry and audit row.
///
/// # Errors
///
/// Returns an error if a value cannot be serialized.
pub fn record_writes(record: &Record) -> Result<Vec<Write>, serde_json::Error> {
    let change = &record.change;
    Ok(vec![
        write(HEAD_KEY.to_owned(), &change.revision)?,
        write(entry_key(&change.setting.key()), change)?,
        write(audit_key(change.revision), record)?,
    ])
}

fn transaction(commit: &Commit) -> Result<Transaction, serde_json::Error> {
    let change = &commit.record.change;
    let condition = |key, revision| Condition { key, revision };
    Ok(Transaction {
        conditions: vec![
            condition(HEAD_KEY.to_owned(), commit.head),
            condition(entry_key(&change.setting.key()), commit.entry),
            condition(audit_key(change.revision), None),
        ],
        writes: record_writes(&commit.record)?,
    })
}

fn write<T>(key: String, value: &T) -> Result<Write, serde_json::Error>
where
    T: Serialize,
{
    let value = Some(serde_json::to_string(value)?);
    Ok(Write { key, value })
}

fn decode_versioned<T>(row: &protocol::Row) -> Result<Row<T>, Error>
where
    T: DeserializeOwned,
{
    Ok(Row {
        value: decode(row)?,
        version: row.revision,
    })
}

pub(crate) fn decode<T>(row: &protocol::Row) -> Result<T, Error>
where
    T: DeserializeOwned,
{
    serde_json::from_str(&row.value).map_err(|source| Error::Malformed {
        key: row.key.clone(),
        source,
    })
}
