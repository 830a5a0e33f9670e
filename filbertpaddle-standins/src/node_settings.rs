//! Settings files of an experiment's nodes, and the customers and templates they are given.

use std::net::SocketAddr;

use data_encoding::HEXLOWER;
use serde_json::Value;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;

use crate::caller;
use crate::cluster::MODEL;
use crate::cluster::SERVICE;
use crate::workload::CUSTOMERS;
use crate::workload::RequestKind;
use crate::workload::STANDARD_KINDS;

/// Token of the experiment's only operator.
pub const OPERATOR_TOKEN: &str = "load-tool-operator-token";

/// Secret that all nodes share, for messages between nodes and for tickets.
const SECRET: &str = "load-tool-secret-of-all-nodes-0123456789";

/// Returns the name of a data centre.
pub fn data_centre_name(number: usize) -> String {
    format!("dc-{number}")
}

/// Returns the name of a node.
pub fn node_name(number: usize) -> String {
    format!("node-{number}")
}

/// Values that differ between the settings files of nodes.
#[derive(Clone, Copy, Debug)]
pub struct NodeSettings<'a> {
    /// Number of the node.
    pub number: usize,
    /// Number of its data centre.
    pub data_centre: usize,
    /// Address of the platform stand-in.
    pub platform: SocketAddr,
    /// Peer addresses of other nodes.
    pub peers: &'a [SocketAddr],
    /// Name of the placement policy; `None` leaves the default.
    pub policy: Option<&'a str>,
}

impl NodeSettings<'_> {
    /// Returns the text of the settings file as JSON, which is also valid YAML.
    pub fn text(&self) -> String {
        let any = "127.0.0.1:0";
        let mut settings = json!({
            "node": {
                "name": node_name(self.number),
                "data_centre": data_centre_name(self.data_centre),
            },
            "listen": { "callers": any, "operators": any, "peers": any },
            "peers": self.peers,
            "platform": { "address": self.platform },
            "secrets": { "peer": SECRET, "ticket": SECRET },
            "operators": [{ "name": "load", "token_sha256": sha256(OPERATOR_TOKEN) }],
            "log": { "level": "warning" },
        });
        if let Some(policy) = self.policy {
            settings["placement"] = json!({ "policy": policy });
        }
        settings.to_string()
    }
}

/// An entry of the configuration to set through the operators' API.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigurationEntry {
    /// Path of the entry below `/v1/`.
    pub path: String,
    /// Value to set.
    pub value: Value,
}

/// Returns the entries for the customers and templates of the load tool.
pub fn entries() -> Vec<ConfigurationEntry> {
    let mut entries = Vec::new();
    for (customer, _) in CUSTOMERS {
        let key = sha256(&caller::api_key(customer));
        entries.push(ConfigurationEntry {
            path: format!("customers/{customer}"),
            value: json!({ "key_sha256": [key] }),
        });
        entries.extend(STANDARD_KINDS.iter().map(|kind| ConfigurationEntry {
            path: format!("templates/{customer}/{}", kind.name),
            value: template(customer, kind),
        }));
    }
    entries
}

fn template(customer: &str, kind: &RequestKind) -> Value {
    let call = kind.is_call();
    json!({
        "model": if call { SERVICE } else { MODEL },
        "work": if call { "call" } else { "generation" },
        "delivery": if call { "whole" } else { "stream" },
        "priority": kind.priority,
        "idempotent": kind.idempotent,
        "prompt": kind.prefix(customer),
        "parameters": [caller::TEMPLATE_PARAMETER],
        "max_tokens": kind.max_tokens.max(1),
    })
}

fn sha256(text: &str) -> String {
    HEXLOWER.encode(&Sha256::digest(text.as_bytes()))
}
