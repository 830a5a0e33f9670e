//! Request and response bodies of the operators' interface.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::config::Change;
use filbertpaddle_core::config::ChangeId;
use filbertpaddle_core::config::Record;
use filbertpaddle_core::edit;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::revision::Revision;
use serde::Deserialize;
use serde::Serialize;

/// Body of a request to change one entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
// `expecting` keeps the text of the error that the interface returns for a malformed body.
#[serde(deny_unknown_fields, expecting = "struct Set")]
pub struct ChangeRequest<T> {
    /// Revision of the entry to replace; absent if the entry must be new.
    #[serde(default)]
    pub expected: Option<Revision>,
    /// Identity of the change, by which a resend is recognized.
    #[serde(default)]
    pub change_id: Option<ChangeId>,
    /// The new value.
    pub value: T,
}

/// Answer to a request to change one entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum Answer {
    /// The change is accepted and will take effect on all nodes.
    Accepted {
        /// Revision that the change was accepted at.
        revision: Revision,
    },
    /// Nothing was changed: the entry already has the requested value.
    Unchanged {
        /// Revision that set the entry; absent if the entry was never set.
        revision: Option<Revision>,
    },
    /// Nothing was changed: the entry is not at the expected revision.
    Conflict {
        /// Latest change of the entry; absent if there is no entry.
        current: Option<Box<Change>>,
    },
    /// Nothing was changed: the platform's table cannot be reached.
    Unavailable,
    /// The change may have been accepted or may still be.
    Unknown {
        /// The only revision at which it can be accepted.
        revision: Revision,
        /// Identity of the change; resending the change with it returns the result.
        change_id: ChangeId,
    },
    /// Nothing was changed: the request is invalid.
    Invalid {
        /// Reason for the rejection.
        detail: String,
    },
    /// Nothing was changed: the token is missing or wrong.
    Unauthorized,
}

impl Answer {
    /// Converts the answer of an edit.
    pub fn from_edit(answer: edit::Answer, change_id: ChangeId) -> Self {
        match answer {
            edit::Answer::Accepted(revision) => Self::Accepted { revision },
            edit::Answer::Unchanged { revision } => Self::Unchanged { revision },
            edit::Answer::Conflict { current } => Self::Conflict { current },
            edit::Answer::Unavailable => Self::Unavailable,
            edit::Answer::Unknown(revision) => Self::Unknown {
                revision,
                change_id,
            },
        }
    }
}

/// Configuration entries on one node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entries {
    /// Latest change of each entry.
    pub entries: Vec<Change>,
}

/// Rows of the audit trail, ordered by revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Audit {
    /// The accepted changes.
    pub records: Vec<Record>,
}

/// An operator action that was refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Time of the refusal, in Unix time.
    pub at_ms: Millis,
    /// Node that refused it.
    pub node: Name,
    /// Operator that the token named; absent if the token was missing or wrong.
    pub by: Option<Name>,
    /// Method and path of the request.
    pub action: String,
    /// Reason for the refusal.
    pub reason: Name,
}

/// Refused operator actions of one row or of all nodes; each node overwrites its oldest
/// rows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusals {
    /// The refusals, ordered by time.
    pub refusals: Vec<Refusal>,
    /// Number of refusals that a node dropped because there were too many; over several
    /// nodes, the largest of their numbers.
    pub dropped: u64,
}
