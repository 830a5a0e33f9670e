//! Settings of the nodes of an experiment, and what the table holds.

use std::net::SocketAddr;

use data_encoding::HEXLOWER;
use filbertpaddle_platform::protocol::Transaction;
use filbertpaddle_platform::protocol::Write;
use serde_json::Value;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;

use crate::caller;
use crate::cluster::MODEL;
use crate::cluster::SERVICE;
use crate::workload::CUSTOMERS;
use crate::workload::Kind;
use crate::workload::USUAL;

/// Token of the only operator.
pub const OPERATOR_TOKEN: &str = "load-tool-operator-token";

/// Secret that nodes share.
const SECRET: &str = "load-tool-secret-of-all-nodes-0123456789";

/// Returns the name of a data centre.
pub fn data_centre(number: usize) -> String {
    format!("dc-{number}")
}

/// Returns the name of a node.
pub fn node(number: usize) -> String {
    format!("node-{number}")
}

/// What the settings of one node depend on.
#[derive(Clone, Copy, Debug)]
pub struct Node<'a> {
    /// Number of the node.
    pub number: usize,
    /// Number of its data centre.
    pub data_centre: usize,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Addresses of other nodes.
    pub peers: &'a [SocketAddr],
    /// Name of the policy, if not the default.
    pub policy: Option<&'a str>,
}

impl Node<'_> {
    /// Returns the text of the settings file; JSON is YAML as well.
    pub fn text(&self) -> String {
        let any = "127.0.0.1:0";
        let mut settings = json!({
            "node": {
                "name": node(self.number),
                "data_centre": data_centre(self.data_centre),
            },
            "listen": { "callers": any, "operators": any, "peers": any },
            "peers": self.peers,
            "platform": { "address": self.platform },
            "secrets": { "peer": SECRET, "ticket": SECRET },
            "operators": [{ "name": "load", "token_sha256": sha256(OPERATOR_TOKEN) }],
            "log": { "level": "warning" },
        });
        if let Some(policy) = self.policy {
            settings["policy"] = json!({ "policy": policy });
        }
        settings.to_string()
    }
}

/// Returns the transaction that sets up customers and templates.
pub fn rows() -> Transaction {
    let mut writes = Vec::new();
    for (customer, _) in CUSTOMERS {
        let key = sha256(&caller::key(customer));
        let value = json!({ "key_sha256": [key] });
        writes.push(entry("customer", customer, &value));
        for kind in USUAL {
            let name = format!("{customer}/{}", kind.name);
            writes.push(entry("template", &name, &template(customer, kind)));
        }
    }
    Transaction {
        conditions: Vec::new(),
        writes,
    }
}

fn entry(kind: &str, name: &str, value: &Value) -> Write {
    Write {
        key: format!("config/entry/{kind}/{name}"),
        value: Some(json!({ "revision": 1, "value": value }).to_string()),
    }
}

fn template(customer: &str, kind: &Kind) -> Value {
    let call = kind.is_call();
    json!({
        "model": if call { SERVICE } else { MODEL },
        "work": if call { "call" } else { "generation" },
        "delivery": if call { "whole" } else { "stream" },
        "priority": kind.priority,
        "idempotent": kind.idempotent,
        "prompt": kind.prefix(customer),
        "parameters": [caller::PARAMETER],
        "max_tokens": kind.max_tokens.max(1),
    })
}

fn sha256(text: &str) -> String {
    HEXLOWER.encode(&Sha256::digest(text.as_bytes()))
}
