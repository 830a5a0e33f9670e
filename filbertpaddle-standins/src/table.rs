//! In-memory transactional table of the platform stand-in.

use std::collections::BTreeMap;
use std::ops::Bound;

use filbertpaddle_platform::protocol::Condition;
use filbertpaddle_platform::protocol::Read;
use filbertpaddle_platform::protocol::Row;
use filbertpaddle_platform::protocol::Rows;
use filbertpaddle_platform::protocol::Scan;
use filbertpaddle_platform::protocol::TransactAnswer;
use filbertpaddle_platform::protocol::Transaction;
use filbertpaddle_platform::protocol::Write;

/// Rows in key order, each with the revision of its last write.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: BTreeMap<String, Row>,
    revision: u64,
}

impl Table {
    /// Performs a transaction atomically, or returns the keys whose conditions failed.
    pub fn transact(&mut self, transaction: Transaction) -> TransactAnswer {
        let keys = transaction
            .conditions
            .iter()
            .filter(|condition| !self.is_met(condition))
            .map(|condition| condition.key.clone())
            .collect::<Vec<_>>();
        if !keys.is_empty() {
            let rows = self.find(&keys);
            return TransactAnswer::Conflict { rows, keys };
        }
        self.revision += 1;
        for write in transaction.writes {
            self.write(write);
        }
        TransactAnswer::Committed {
            revision: self.revision,
        }
    }

    /// Returns rows by key.
    pub fn read(&self, mut read: Read) -> Rows {
        read.keys.sort();
        read.keys.dedup();
        Rows {
            rows: self.find(&read.keys),
            revision: self.revision,
        }
    }

    /// Returns rows with a prefix in key order, from after a key and up to a limit.
    pub fn scan(&self, scan: &Scan) -> Rows {
        let start = scan
            .after
            .as_ref()
            .filter(|after| **after >= scan.prefix)
            .map_or(Bound::Included(&scan.prefix), Bound::Excluded);
        let rows = self
            .rows
            .range::<String, _>((start, Bound::Unbounded))
            .map(|(_, row)| row)
            .take_while(|row| row.key.starts_with(&scan.prefix))
            .take(scan.limit as usize)
            .cloned()
            .collect();
        Rows {
            rows,
            revision: self.revision,
        }
    }

    fn is_met(&self, condition: &Condition) -> bool {
        let revision = self.rows.get(&condition.key).map(|row| row.revision);
        revision == condition.revision
    }

    fn find(&self, keys: &[String]) -> Vec<Row> {
        keys.iter()
            .filter_map(|key| self.rows.get(key))
            .cloned()
            .collect()
    }

    fn write(&mut self, write: Write) {
        let Some(value) = write.value else {
            self.rows.remove(&write.key);
            return;
        };
        let row = Row {
            key: write.key.clone(),
            value,
            revision: self.revision,
        };
        self.rows.insert(write.key, row);
    }
}
