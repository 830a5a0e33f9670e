//! Names that one connection has already carried, so that later messages refer to them by
//! number.
//!
//! Both ends of a connection number the names in the order in which they are defined. The
//! connection delivers frames in order, so their tables agree.

use ciborium::Value;
use indexmap::IndexSet;

/// CBOR tag of a name that the sender adds to its table. Unassigned by IANA, as is
/// [`REFERENCE_TAG`]; both take one byte.
const DEFINITION_TAG: u64 = 6;
/// CBOR tag of the number of a name in the table.
const REFERENCE_TAG: u64 = 7;
/// Lengths of the names that are numbered. A reference takes up to four bytes.
const NAME_BYTES: std::ops::RangeInclusive<usize> = 4..=64;
/// Maximum number of names; further ones are sent as text.
const MAX_NAMES: usize = 1_024;

/// Why references cannot be resolved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The number belongs to no name.
    #[error("name number {0} is not defined")]
    UnknownNumber(u64),
    /// A definition carries no text, or one more than the table holds.
    #[error("invalid definition of a name")]
    InvalidDefinition,
    /// A reference carries no number.
    #[error("invalid reference to a name")]
    InvalidReference,
}

/// The names of one direction of a connection, at the sender or at the receiver.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NameTable {
    names: IndexSet<String>,
}

impl NameTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of names.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Returns whether the table has no names.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// Removes the names after the first `len`, which were not sent.
    pub fn truncate(&mut self, len: usize) {
        self.names.truncate(len);
    }

    /// Replaces names in `value` by references; those that are not in the table are added.
    /// Keys of maps stay as they are.
    pub fn compress(&mut self, value: Value) -> Value {
        match value {
            Value::Text(text) => self.compress_text(text),
            Value::Array(values) => {
                Value::Array(values.into_iter().map(|v| self.compress(v)).collect())
            }
            Value::Map(entries) => Value::Map(
                entries
                    .into_iter()
                    .map(|(key, value)| (key, self.compress(value)))
                    .collect(),
            ),
            other => other,
        }
    }

    /// Replaces references in `value` by their names; defined names are added.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] for a reference or definition that the sender cannot have made.
    pub fn expand(&mut self, value: Value) -> Result<Value, Error> {
        Ok(match value {
            Value::Tag(DEFINITION_TAG, name) => self.define(*name)?,
            Value::Tag(REFERENCE_TAG, number) => self.resolve(&number)?,
            Value::Array(values) => {
                let expanded: Result<_, _> = values.into_iter().map(|v| self.expand(v)).collect();
                Value::Array(expanded?)
            }
            Value::Map(entries) => {
                let expanded: Result<_, _> = entries
                    .into_iter()
                    .map(|(key, value)| Ok((key, self.expand(value)?)))
                    .collect();
                Value::Map(expanded?)
            }
            other => other,
        })
    }

    fn compress_text(&mut self, text: String) -> Value {
        if !NAME_BYTES.contains(&text.len()) {
            return Value::Text(text);
        }
        if let Some(number) = self.names.get_index_of(&text) {
            return Value::Tag(REFERENCE_TAG, Box::new(Value::from(number as u64)));
        }
        if self.names.len() >= MAX_NAMES {
            return Value::Text(text);
        }
        self.names.insert(text.clone());
        Value::Tag(DEFINITION_TAG, Box::new(Value::Text(text)))
    }

    fn define(&mut self, name: Value) -> Result<Value, Error> {
        let Value::Text(text) = name else {
            return Err(Error::InvalidDefinition);
        };
        if self.names.len() >= MAX_NAMES || !self.names.insert(text.clone()) {
            return Err(Error::InvalidDefinition);
        }
        Ok(Value::Text(text))
    }

    fn resolve(&self, number: &Value) -> Result<Value, Error> {
        let number = number
            .as_integer()
            .and_then(|number| u64::try_from(number).ok())
            .ok_or(Error::InvalidReference)?;
        let name = usize::try_from(number)
            .ok()
            .and_then(|index| self.names.get_index(index))
            .ok_or(Error::UnknownNumber(number))?;
        Ok(Value::Text(name.clone()))
    }
}
