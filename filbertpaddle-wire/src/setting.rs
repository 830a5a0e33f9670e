//! Compact encoded forms of configuration entries, as replicated between nodes.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::config;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::revision::Revision;
use filbertpaddle_core::template;
use serde::Deserialize;
use serde::Serialize;

/// Identifies a setting.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Key {
    /// A customer.
    #[serde(rename = "c")]
    Customer(Name),
    /// A data centre.
    #[serde(rename = "d")]
    DataCentre(Name),
    /// A template: customer and name.
    #[serde(rename = "t")]
    Template(Name, Name),
    /// A VM.
    #[serde(rename = "v")]
    Vm(Name),
}

/// A setting: its key and value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Setting {
    /// A customer and its account.
    #[serde(rename = "c")]
    Customer(Name, Customer),
    /// A data centre and whether it is out of service.
    #[serde(rename = "d")]
    DataCentre(Name, bool),
    /// A template: customer, name and value.
    #[serde(rename = "t")]
    Template(Name, Name, Box<Template>),
    /// A VM and whether it is out of service.
    #[serde(rename = "v")]
    Vm(Name, bool),
}

/// A customer's account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Customer {
    /// Hexadecimal SHA-256 digests of the customer's API keys.
    #[serde(rename = "k")]
    pub key_sha256: Vec<Name>,
    /// Weight in fair sharing of tokens.
    #[serde(rename = "w")]
    pub weight: u32,
    /// Maximum number of concurrent requests on one entry VM.
    #[serde(rename = "r")]
    pub max_running: u32,
}

/// One customer's template; fields with their default value are omitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Template {
    /// Model or plain service that runs the request.
    #[serde(rename = "m")]
    pub model: Name,
    /// Model version.
    #[serde(rename = "v", default, skip_serializing_if = "Name::is_empty")]
    pub version: Name,
    /// Adapter of the model.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<Name>,
    /// Whether requests are calls to a plain service, not generations.
    #[serde(rename = "c", default, skip_serializing_if = "is_false")]
    pub is_call: bool,
    /// Whether the answer is delivered as one body, not streamed.
    #[serde(rename = "b", default, skip_serializing_if = "is_false")]
    pub is_whole: bool,
    /// Scheduling priority.
    #[serde(rename = "p", default, skip_serializing_if = "is_zero")]
    pub priority: u8,
    /// Whether a request must not run twice.
    #[serde(rename = "n", default, skip_serializing_if = "is_false")]
    pub non_idempotent: bool,
    /// Text placed before the parameters.
    #[serde(rename = "t", default, skip_serializing_if = "String::is_empty")]
    pub prompt: String,
    /// Names of the parameters.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub parameters: Vec<Name>,
    /// Maximum number of tokens of a generation.
    #[serde(rename = "x")]
    pub max_tokens: u32,
    /// Maximum wait for a target, in milliseconds.
    #[serde(rename = "l")]
    pub max_wait_ms: u64,
    /// Weight in fair sharing of tokens.
    #[serde(rename = "w")]
    pub weight: u32,
}

/// One accepted change of a setting.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Revision that the change created.
    #[serde(rename = "r")]
    pub revision: u64,
    /// Identifies the change across retries.
    #[serde(rename = "i")]
    pub id: u64,
    /// Operator who made the change.
    #[serde(rename = "b")]
    pub by: Name,
    /// When the change was made, in milliseconds of Unix time.
    #[serde(rename = "t")]
    pub at_ms: u64,
    /// The setting with its new value.
    #[serde(rename = "s")]
    pub setting: Setting,
}

fn is_false(value: &bool) -> bool {
    !value
}

fn is_zero(value: &u8) -> bool {
    *value == 0
}

impl From<config::Key> for Key {
    fn from(key: config::Key) -> Self {
        match key {
            config::Key::Customer(name) => Self::Customer(name),
            config::Key::DataCentre(name) => Self::DataCentre(name),
            config::Key::Template { customer, name } => Self::Template(customer, name),
            config::Key::Vm(name) => Self::Vm(name),
        }
    }
}

impl From<Key> for config::Key {
    fn from(key: Key) -> Self {
        match key {
            Key::Customer(name) => Self::Customer(name),
            Key::DataCentre(name) => Self::DataCentre(name),
            Key::Template(customer, name) => Self::Template { customer, name },
            Key::Vm(name) => Self::Vm(name),
        }
    }
}

impl From<config::Setting> for Setting {
    fn from(setting: config::Setting) -> Self {
        let is_out = |service| service == config::ServiceState::Out;
        match setting {
            config::Setting::Customer { name, customer } => Self::Customer(name, customer.into()),
            config::Setting::DataCentre { name, service } => {
                Self::DataCentre(name, is_out(service))
            }
            config::Setting::Template {
                customer,
                name,
                template,
            } => Self::Template(customer, name, Box::new((*template).into())),
            config::Setting::Vm { name, service } => Self::Vm(name, is_out(service)),
        }
    }
}

impl From<Setting> for config::Setting {
    fn from(setting: Setting) -> Self {
        let service = |is_out| {
            if is_out {
                config::ServiceState::Out
            } else {
                config::ServiceState::In
            }
        };
        match setting {
            Setting::Customer(name, customer) => Self::Customer {
                name,
                customer: customer.into(),
            },
            Setting::DataCentre(name, is_out) => Self::DataCentre {
                name,
                service: service(is_out),
            },
            Setting::Template(customer, name, template) => Self::Template {
                customer,
                name,
                template: Box::new((*template).into()),
            },
            Setting::Vm(name, is_out) => Self::Vm {
                name,
                service: service(is_out),
            },
        }
    }
}

impl From<config::Customer> for Customer {
    fn from(customer: config::Customer) -> Self {
        Self {
            key_sha256: customer.key_sha256,
            weight: customer.weight,
            max_running: customer.max_running,
        }
    }
}

impl From<Customer> for config::Customer {
    fn from(customer: Customer) -> Self {
        Self {
            key_sha256: customer.key_sha256,
            weight: customer.weight,
            max_running: customer.max_running,
        }
    }
}

impl From<template::Template> for Template {
    fn from(template: template::Template) -> Self {
        Self {
            model: template.model,
            version: template.version,
            adapter: template.adapter,
            is_call: template.work == template::WorkKind::Call,
            is_whole: template.delivery == template::DeliveryMode::Whole,
            priority: template.priority.0,
            non_idempotent: !template.idempotent,
            prompt: template.prompt,
            parameters: template.parameters,
            max_tokens: template.max_tokens,
            max_wait_ms: template.max_wait_ms.0,
            weight: template.weight,
        }
    }
}

impl From<Template> for template::Template {
    fn from(template: Template) -> Self {
        Self {
            model: template.model,
            version: template.version,
            adapter: template.adapter,
            work: if template.is_call {
                template::WorkKind::Call
            } else {
                template::WorkKind::Generation
            },
            delivery: if template.is_whole {
                template::DeliveryMode::Whole
            } else {
                template::DeliveryMode::Stream
            },
            priority: template::Priority(template.priority),
            idempotent: !template.non_idempotent,
            prompt: template.prompt,
            parameters: template.parameters,
            max_tokens: template.max_tokens,
            max_wait_ms: Millis(template.max_wait_ms),
            weight: template.weight,
        }
    }
}

impl From<config::Change> for Change {
    fn from(change: config::Change) -> Self {
        Self {
            revision: change.revision.0,
            id: change.id.0,
            by: change.by,
            at_ms: change.at_ms.0,
            setting: change.setting.into(),
        }
    }
}

impl From<Change> for config::Change {
    fn from(change: Change) -> Self {
        Self {
            revision: Revision(change.revision),
            id: config::ChangeId(change.id),
            by: change.by,
            at_ms: Millis(change.at_ms),
            setting: change.setting.into(),
        }
    }
}
