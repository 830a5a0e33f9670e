//! Configuration settings, their validation, and the audit record of each change.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::name::Name;
use crate::revision::Revision;
use crate::template::Template;

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Maximum length of a template's prompt, in bytes.
pub const MAX_PROMPT_BYTES: usize = 16 * 1024;
/// Maximum number of parameters of a template.
pub const MAX_PARAMETERS: usize = 64;
/// Maximum number of key digests of a customer.
pub const MAX_KEY_DIGESTS: usize = 8;
/// Length of a hexadecimal SHA-256 digest, in bytes.
pub const KEY_DIGEST_BYTES: usize = 64;

/// Identifies the entry that a setting configures.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Key {
    /// Account of the named customer.
    Customer(Name),
    /// Service state of the named data centre.
    DataCentre(Name),
    /// Template of one customer.
    Template {
        /// Customer that uses the template.
        customer: Name,
        /// Name of the template.
        name: Name,
    },
    /// Service state of the named VM.
    Vm(Name),
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Customer(name) => write!(f, "customer/{name}"),
            Self::DataCentre(name) => write!(f, "data_centre/{name}"),
            Self::Template { customer, name } => write!(f, "template/{customer}/{name}"),
            Self::Vm(name) => write!(f, "vm/{name}"),
        }
    }
}

/// Error returned when a text cannot be parsed as a [`Key`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` is not a configuration key")]
pub struct ParseKeyError(Name);

impl FromStr for Key {
    type Err = ParseKeyError;

    fn from_str(text: &str) -> Result<Self, ParseKeyError> {
        let mut parts = text.split('/');
        let key = match (parts.next(), parts.next(), parts.next(), parts.next()) {
            (Some("customer"), Some(name), None, None) => Self::Customer(name.into()),
            (Some("data_centre"), Some(name), None, None) => Self::DataCentre(name.into()),
            (Some("vm"), Some(name), None, None) => Self::Vm(name.into()),
            (Some("template"), Some(customer), Some(name), None) => Self::Template {
                customer: customer.into(),
                name: name.into(),
            },
            _ => return Err(ParseKeyError(text.into())),
        };
        Ok(key)
    }
}

/// Whether operators allow new work on a data centre or VM.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ServiceState {
    /// New work may be sent.
    #[default]
    In,
    /// No new work is sent; running work finishes.
    Out,
}

/// A customer's account.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Hexadecimal SHA-256 digests of the customer's keys.
    pub key_sha256: Vec<Name>,
    /// Weight of the customer when tokens are shared between customers.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Maximum number of concurrent requests of the customer on one entry VM.
    #[serde(default = "default_max_running")]
    pub max_running: u32,
}

fn default_weight() -> u32 {
    1
}

fn default_max_running() -> u32 {
    1_000
}

/// One configuration entry with its value.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Setting {
    /// A customer's account.
    Customer {
        /// Name of the customer.
        name: Name,
        /// Keys and limits of the account.
        customer: Customer,
    },
    /// Service state of a data centre.
    DataCentre {
        /// Name of the data centre.
        name: Name,
        /// State that operators set.
        service: ServiceState,
    },
    /// One customer's template.
    Template {
        /// Customer that uses the template.
        customer: Name,
        /// Name of the template.
        name: Name,
        /// Definition of the template.
        template: Box<Template>,
    },
    /// Service state of a VM.
    Vm {
        /// Name of the VM.
        name: Name,
        /// State that operators set.
        service: ServiceState,
    },
}

/// Reason why a setting fails validation.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidSetting {
    /// A name is empty, too long or contains a character outside `a-z A-Z 0-9 . _ -`.
    #[error("`{0}` is not a name of 1 to 64 letters, digits, `.`, `_` or `-`")]
    InvalidName(Name),
    /// The prompt exceeds [`MAX_PROMPT_BYTES`].
    #[error("the prompt has {0} bytes; at most {MAX_PROMPT_BYTES} are allowed")]
    PromptTooLong(usize),
    /// The number of parameters exceeds [`MAX_PARAMETERS`].
    #[error("the template has {0} parameters; at most {MAX_PARAMETERS} are allowed")]
    TooManyParameters(usize),
    /// A number that must be positive is zero.
    #[error("`{0}` must be at least 1")]
    Zero(&'static str),
    /// The number of key digests exceeds [`MAX_KEY_DIGESTS`].
    #[error("the customer has {0} key digests; at most {MAX_KEY_DIGESTS} are allowed")]
    TooManyKeyDigests(usize),
    /// A key digest is not a hexadecimal SHA-256 digest.
    #[error("a key digest must be 64 lower-case hexadecimal digits")]
    InvalidKeyDigest,
}

impl Setting {
    /// Returns the key of the entry that the setting configures.
    pub fn key(&self) -> Key {
        match self {
            Self::Customer { name, .. } => Key::Customer(name.clone()),
            Self::DataCentre { name, .. } => Key::DataCentre(name.clone()),
            Self::Template { customer, name, .. } => Key::Template {
                customer: customer.clone(),
                name: name.clone(),
            },
            Self::Vm { name, .. } => Key::Vm(name.clone()),
        }
    }

    /// Validates names, sizes and values.
    ///
    /// # Errors
    ///
    /// Returns the first violation found.
    pub fn validate(&self) -> Result<(), InvalidSetting> {
        match self {
            Self::Customer { name, customer } => {
                validate_name(name)?;
                validate_customer(customer)
            }
            Self::DataCentre { name, .. } | Self::Vm { name, .. } => validate_name(name),
            Self::Template {
                customer,
                name,
                template,
            } => {
                validate_name(customer)?;
                validate_name(name)?;
                validate_template(template)
            }
        }
    }

    /// Returns whether writing this setting over `entry` would change nothing.
    ///
    /// A data centre or VM without an entry counts as in service.
    pub fn is_unchanged_from(&self, entry: Option<&Self>) -> bool {
        match (self, entry) {
            (Self::DataCentre { service, .. } | Self::Vm { service, .. }, None) => {
                *service == ServiceState::In
            }
            (_, entry) => Some(self) == entry,
        }
    }

    /// Returns the approximate size of the setting in a message, in bytes.
    pub fn size_bytes(&self) -> usize {
        const FIXED_BYTES: usize = 64;
        let variable = match self {
            Self::Customer { customer, .. } => customer.key_sha256.len() * KEY_DIGEST_BYTES,
            Self::DataCentre { .. } | Self::Vm { .. } => 0,
            Self::Template { template, .. } => {
                let parameters: usize = template.parameters.iter().map(|name| name.len()).sum();
                template.prompt.len() + parameters + MAX_NAME_BYTES
            }
        };
        FIXED_BYTES + variable
    }
}

fn validate_name(name: &Name) -> Result<(), InvalidSetting> {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(plain) {
        return Err(InvalidSetting::InvalidName(name.clone()));
    }
    Ok(())
}

fn validate_customer(customer: &Customer) -> Result<(), InvalidSetting> {
    let hexadecimal = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    let digest = |text: &Name| text.len() == KEY_DIGEST_BYTES && text.bytes().all(hexadecimal);
    if customer.key_sha256.len() > MAX_KEY_DIGESTS {
        return Err(InvalidSetting::TooManyKeyDigests(customer.key_sha256.len()));
    }
    if !customer.key_sha256.iter().all(digest) {
        return Err(InvalidSetting::InvalidKeyDigest);
    }
    validate_positive("weight", customer.weight)?;
    validate_positive("max_running", customer.max_running)
}

fn validate_template(template: &Template) -> Result<(), InvalidSetting> {
    validate_name(&template.model)?;
    let optional = [Some(&template.version), template.adapter.as_ref()];
    for name in optional.into_iter().flatten() {
        if !name.is_empty() {
            validate_name(name)?;
        }
    }
    if template.prompt.len() > MAX_PROMPT_BYTES {
        return Err(InvalidSetting::PromptTooLong(template.prompt.len()));
    }
    if template.parameters.len() > MAX_PARAMETERS {
        return Err(InvalidSetting::TooManyParameters(template.parameters.len()));
    }
    template.parameters.iter().try_for_each(validate_name)?;
    validate_positive("max_tokens", template.max_tokens)?;
    validate_positive("weight", template.weight)
}

fn validate_positive(field: &'static str, value: u32) -> Result<(), InvalidSetting> {
    if value == 0 {
        return Err(InvalidSetting::Zero(field));
    }
    Ok(())
}

/// Unique identity of one configuration change, kept when the change is resent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ChangeId(pub u64);

/// One accepted change; also stored as the value of the row of its entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Change {
    /// Position in the total order of changes.
    pub revision: Revision,
    /// Identity chosen by the client that requested the change.
    pub id: ChangeId,
    /// Operator who requested the change.
    pub by: Name,
    /// Time of the request, in Unix time.
    pub at_ms: Millis,
    /// The new value.
    pub setting: Setting,
}

/// One row of the audit trail, which is also the change log that nodes read.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// The accepted change.
    pub change: Change,
    /// The value that was replaced; `None` if the entry is new.
    pub before: Option<Setting>,
}
