//! Configuration as rows of the platform's table.

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

/// Row of the highest accepted revision.
pub const HEAD_KEY: &str = "config/head";
/// Start of the keys of entries.
pub const ENTRY_PREFIX: &str = "config/entry/";
/// Start of the keys of audit rows.
pub const AUDIT_PREFIX: &str = "audit/";
/// Most entries read at once.
const PAGE_ROWS: u32 = 200;
/// Audit rows among which a resent change is looked for.
const FIND_ROWS: u32 = 500;

/// Why configuration could not be read.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The platform did not answer.
    #[error(transparent)]
    Platform(#[from] filbertpaddle_platform::error::Error),
    /// A row is not what this system writes.
    #[error("row {key} is malformed: {source}")]
    Malformed {
        /// Key of the row.
        key: String,
        /// What is wrong with it.
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

/// Looks for a change by its id among the last audit rows up to a revision.
///
/// # Errors
///
/// Returns [`Error`] if a row cannot be read.
pub async fn find_change(
    platform: &Client,
    id: ChangeId,
    up_to: Revision,
) -> Result<Option<Revision>, Error> {
    let after = Revision(up_to.0.saturating_sub(u64::from(FIND_ROWS)));
    let records = read_audit(platform, after, FIND_ROWS).await?;
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

/// Reads entries after a key; `head` was read before the first page.
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

/// Reads what an edit needs, as of one revision of the table.
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
    let mut seen = Snapshot::default();
    for row in &rows {
        if row.key == HEAD_KEY {
            seen.head = Some(decode_versioned(row)?);
        } else if row.key == entry_key {
            seen.entry = Some(decode_versioned(row)?);
        } else if Some(&row.key) == audit_key.as_ref() {
            seen.audit = Some(decode::<Record>(row)?.change.id);
        }
    }
    Ok(seen)
}

/// Runs an edit's transaction and returns what is known of it.
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

/// Returns the writes that make a change: head, entry and audit row.
///
/// # Errors
///
/// Returns an error if a value has no JSON form.
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
