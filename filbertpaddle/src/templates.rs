//! The templates and customers in force on this node.

use std::sync::Arc;
use std::time::Duration;

use data_encoding::HEXLOWER;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::template::Template;
use filbertpaddle_platform::client::Client;
use filbertpaddle_platform::protocol::Row;
use filbertpaddle_platform::protocol::Scan;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use slog::Logger;
use slog::info;
use slog::warn;
use subtle::ConstantTimeEq;
use tokio::sync::watch;

/// Time between two reads of the table.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Most entries read at once.
const SCAN_LIMIT: u32 = 10_000;
const ENTRY_PREFIX: &str = "config/entry/";
const CUSTOMER_PREFIX: &str = "config/entry/customer/";
const TEMPLATE_PREFIX: &str = "config/entry/template/";

/// One entry of the configuration as the table holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry<T> {
    /// Revision that set the entry.
    pub revision: u64,
    /// What is set.
    pub value: T,
}

/// One customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// SHA-256 of each valid key, in hexadecimal.
    pub key_sha256: Vec<String>,
}

/// All that is in force as of one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    customers: IndexMap<Name, Customer>,
    templates: IndexMap<Name, Arc<Template>>,
}

impl Snapshot {
    /// Returns the customer whose key this is.
    pub fn authenticate(&self, key: &str) -> Option<Name> {
        let digest = HEXLOWER.encode(&Sha256::digest(key.as_bytes()));
        let matches = |customer: &Customer| {
            customer
                .key_sha256
                .iter()
                .any(|known| bool::from(known.as_bytes().ct_eq(digest.as_bytes())))
        };
        self.customers
            .iter()
            .find(|(_, customer)| matches(customer))
            .map(|(name, _)| name.clone())
    }

    /// Returns a customer's template.
    pub fn template(&self, customer: &str, name: &str) -> Option<Arc<Template>> {
        self.templates
            .get(format!("{customer}/{name}").as_str())
            .cloned()
    }
}

/// Gives out the configuration in force.
#[derive(Clone, Debug)]
pub struct Templates {
    current: watch::Receiver<Option<Arc<Snapshot>>>,
}

impl Templates {
    /// Starts to follow the table.
    pub fn start(platform: Client, log: Logger) -> Self {
        let (publish, current) = watch::channel(None);
        tokio::spawn(follow(platform, publish, log));
        Self { current }
    }

    /// Returns the configuration in force; `None` until one is known.
    pub fn current(&self) -> Option<Arc<Snapshot>> {
        self.current.borrow().clone()
    }
}

async fn follow(platform: Client, publish: watch::Sender<Option<Arc<Snapshot>>>, log: Logger) {
    while !publish.is_closed() {
        match read(&platform).await {
            Ok(snapshot) => apply(&publish, snapshot, &log),
            Err(error) => warn!(log, "Configuration not read."; "error" => %error),
        }
        tokio::time::sleep(READ_INTERVAL).await;
    }
}

fn apply(publish: &watch::Sender<Option<Arc<Snapshot>>>, snapshot: Snapshot, log: &Logger) {
    let known = publish.borrow().as_deref() == Some(&snapshot);
    if known {
        return;
    }
    info!(log, "Configuration in force."; "templates" => snapshot.templates.len());
    publish.send_replace(Some(Arc::new(snapshot)));
}

async fn read(platform: &Client) -> Result<Snapshot, filbertpaddle_platform::error::Error> {
    let scan = Scan {
        prefix: ENTRY_PREFIX.to_owned(),
        after: None,
        limit: SCAN_LIMIT,
    };
    let rows = platform.scan(&scan).await?.rows;
    let mut snapshot = Snapshot::default();
    for row in &rows {
        load(&mut snapshot, row);
    }
    Ok(snapshot)
}

fn load(snapshot: &mut Snapshot, row: &Row) {
    if let Some(name) = row.key.strip_prefix(CUSTOMER_PREFIX)
        && let Ok(entry) = serde_json::from_str::<Entry<Customer>>(&row.value)
    {
        snapshot.customers.insert(name.into(), entry.value);
    }
    if let Some(name) = row.key.strip_prefix(TEMPLATE_PREFIX)
        && let Ok(entry) = serde_json::from_str::<Entry<Template>>(&row.value)
    {
        snapshot
            .templates
            .insert(name.into(), Arc::new(entry.value));
    }
}
