//! Reads and writes a data centre's record: the row of the platform's table that holds
//! its roster.

use filbertpaddle_core::roster::NodeId;
use filbertpaddle_core::roster::Roster;
use filbertpaddle_platform::client::Client;
use filbertpaddle_platform::protocol::Condition;
use filbertpaddle_platform::protocol::TransactAnswer;
use filbertpaddle_platform::protocol::Transaction;
use filbertpaddle_platform::protocol::Write;

use crate::config_table;

/// Maximum number of attempts of a leaving node to remove itself; an attempt
/// fails if another node changes the record at the same time.
const MAX_LEAVE_ATTEMPTS: usize = 4;

/// Content of the record and the table revision of its last write.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Record {
    /// The roster; empty if there is no row yet.
    pub roster: Roster,
    /// Table revision, for compare-and-set.
    pub revision: Option<u64>,
}

fn key(data_centre: &str) -> String {
    format!("dc/{data_centre}")
}

/// Reads the record.
///
/// # Errors
///
/// Returns [`config_table::Error`] if the row cannot be read.
pub async fn read(platform: &Client, data_centre: &str) -> Result<Record, config_table::Error> {
    let rows = platform.read(vec![key(data_centre)]).await?.rows;
    let Some(row) = rows.first() else {
        return Ok(Record::default());
    };
    Ok(Record {
        roster: config_table::decode(row)?,
        revision: Some(row.revision),
    })
}

/// Removes a node from the roster, in a limited number of attempts.
pub async fn leave(platform: &Client, data_centre: &str, id: &NodeId) {
    for _ in 0..MAX_LEAVE_ATTEMPTS {
        let Ok(record) = read(platform, data_centre).await else {
            return;
        };
        let roster = &record.roster;
        let is_member = roster.members.iter().any(|member| member.id == *id);
        if !is_member && !roster.peers().contains(id) {
            return;
        }
        write(platform, data_centre, &roster.remove(id), record.revision).await;
    }
}

/// Replaces the roster in the record if the row is still at `revision`.
///
/// The answer may be lost, so only reading the record again shows whether the
/// write succeeded.
pub async fn write(platform: &Client, data_centre: &str, roster: &Roster, revision: Option<u64>) {
    let Ok(value) = serde_json::to_string(roster) else {
        return;
    };
    let transaction = Transaction {
        conditions: vec![Condition {
            key: key(data_centre),
            revision,
        }],
        writes: vec![Write {
            key: key(data_centre),
            value: Some(value),
        }],
    };
    let answer: Result<TransactAnswer, _> = platform.transact(&transaction).await;
    drop(answer);
}
