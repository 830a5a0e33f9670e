//! Compact forms of what operators configure.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::config;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::revision::Revision;
use filbertpaddle_core::template;
use serde::Deserialize;
use serde::Serialize;

/// What a setting is about.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Key {
    /// A customer.
    #[serde(rename = "c")]
    Customer(Name),
    /// A data centre.
    #[serde(rename = "d")]
    DataCentre(Name),
    /// A template, by customer and name.
    #[serde(rename = "t")]
    Template(Name, Name),
    /// A VM.
    #[serde(rename = "v")]
    Vm(Name),
}

/// One configured thing with its value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Setting {
    /// A customer's account.
    #[serde(rename = "c")]
    Customer(Name, Customer),
    /// Whether a data centre is out of service.
    #[serde(rename = "d")]
    DataCentre(Name, bool),
    /// A template, by customer and name.
    #[serde(rename = "t")]
    Template(Name, Name, Box<Template>),
    /// Whether a VM is out of service.
    #[serde(rename = "v")]
    Vm(Name, bool),
}

/// A customer's account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Customer {
    /// Hexadecimal digests of the customer's keys.
    #[serde(rename = "k")]
    pub key_sha256: Vec<Name>,
    /// Relative share of tokens.
    #[serde(rename = "w")]
    pub weight: u32,
    /// Most requests at once on one entry VM.
    #[serde(rename = "r")]
    pub max_running: u32,
}

/// One customer's template; what has its usual value is left out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Template {
    /// Model or plain service.
    #[serde(rename = "m")]
    pub model: Name,
    /// Model version.
    #[serde(rename = "v", default, skip_serializing_if = "Name::is_empty")]
    pub version: Name,
    /// Adapter.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<Name>,
    /// Whether it is a call to a plain service.
    #[serde(rename = "c", default, skip_serializing_if = "is_false")]
    pub is_call: bool,
    /// Whether the answer is delivered as one body.
    #[serde(rename = "b", default, skip_serializing_if = "is_false")]
    pub is_whole: bool,
    /// Scheduling priority.
    #[serde(rename = "p", default, skip_serializing_if = "is_zero")]
    pub priority: u8,
    /// Whether running a request twice does harm.
    #[serde(rename = "n", default, skip_serializing_if = "is_false")]
    pub non_idempotent: bool,
    /// Text placed before the parameters.
    #[serde(rename = "t", default, skip_serializing_if = "String::is_empty")]
    pub prompt: String,
    /// Names of the parameters.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub parameters: Vec<Name>,
    /// Most tokens of a generation.
    #[serde(rename = "x")]
    pub max_tokens: u32,
    /// Longest wait for a target, in milliseconds.
    #[serde(rename = "l")]
    pub max_wait_ms: u64,
    /// Relative share of tokens.
    #[serde(rename = "w")]
    pub weight: u32,
}

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Place in the order of changes.
    #[serde(rename = "r")]
    pub revision: u64,
    /// Identity of the change.
    #[serde(rename = "i")]
    pub id: u64,
    /// Who changed it.
    #[serde(rename = "b")]
    pub by: Name,
    /// When, in Unix time.
    #[serde(rename = "t")]
    pub at_ms: u64,
    /// The new value.
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
