//! Bodies of the operators' interface.

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
#[serde(deny_unknown_fields)]
pub struct ChangeRequest<T> {
    /// Revision of the entry that is replaced; absent if it is new.
    #[serde(default)]
    pub expected: Option<Revision>,
    /// Makes a resend of this very change harmless.
    #[serde(default)]
    pub change_id: Option<ChangeId>,
    /// The new value.
    pub value: T,
}

/// Answer to a request to change one entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum Answer {
    /// The change is accepted and will be in force everywhere.
    Accepted {
        /// Its place in the order of changes.
        revision: Revision,
    },
    /// It is so already; nothing was changed.
    Unchanged {
        /// Revision that set the entry; absent if it never was.
        revision: Option<Revision>,
    },
    /// The entry is not as expected; nothing was changed.
    Conflict {
        /// The change that stands instead.
        current: Option<Box<Change>>,
    },
    /// The platform's table cannot be reached; nothing was changed.
    Unavailable,
    /// The change may have been accepted.
    Unknown {
        /// The only revision it can have.
        revision: Revision,
        /// Send the same change with this id to learn what became of it.
        change_id: ChangeId,
    },
    /// The request is wrong; nothing was changed.
    Invalid {
        /// What is wrong.
        detail: String,
    },
    /// The token is missing or wrong; nothing was changed.
    Unauthorized,
}

impl Answer {
    /// Turns an edit's answer into the interface's.
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

/// Entries as one node has them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entries {
    /// The last change of each.
    pub entries: Vec<Change>,
}

/// Rows of the audit trail, in order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Audit {
    /// The accepted changes.
    pub records: Vec<Record>,
}

/// An operator action that was refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// When, in Unix time.
    pub at_ms: Millis,
    /// Node that refused it.
    pub node: Name,
    /// Operator that the token named; absent if the token was missing or wrong.
    pub by: Option<Name>,
    /// Method and path.
    pub action: String,
    /// Why.
    pub reason: Name,
}

/// Refused operator actions, by node; the oldest are overwritten.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusals {
    /// The refusals.
    pub refusals: Vec<Refusal>,
    /// How many more there were that no node could keep.
    pub dropped: u64,
}
