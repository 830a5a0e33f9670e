//! Snapshots of the customers and templates in effect on this node.

use std::sync::Arc;

use data_encoding::HEXLOWER;
use filbertpaddle_core::config::Customer;
use filbertpaddle_core::config::Key;
use filbertpaddle_core::config::Setting;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::replica::Replica;
use filbertpaddle_core::template::Template;
use indexmap::IndexMap;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;
use tokio::sync::watch;

/// Customers and templates in effect at one moment; immutable once published.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigSnapshot {
    customers: IndexMap<Name, Arc<Customer>>,
    templates: IndexMap<Name, Arc<Template>>,
}

impl ConfigSnapshot {
    /// Returns a snapshot of all entries of a replica.
    pub fn from_replica(replica: &Replica) -> Self {
        let mut snapshot = Self::default();
        for change in replica.entries() {
            snapshot.set(&change.setting);
        }
        snapshot
    }

    /// Returns a copy of the snapshot with the given entries updated from a replica.
    pub fn with_entries(&self, replica: &Replica, keys: &[Key]) -> Self {
        let mut snapshot = self.clone();
        let changes = keys.iter().filter_map(|key| replica.get(key));
        changes.for_each(|change| snapshot.set(&change.setting));
        snapshot
    }

    /// Returns the customer that an API key belongs to.
    ///
    /// Digests are compared in constant time.
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

    /// Returns a customer's configuration.
    pub fn customer(&self, name: &str) -> Option<Arc<Customer>> {
        self.customers.get(name).cloned()
    }

    /// Returns a customer's template.
    pub fn template(&self, customer: &str, name: &str) -> Option<Arc<Template>> {
        self.templates
            .get(format!("{customer}/{name}").as_str())
            .cloned()
    }

    fn set(&mut self, setting: &Setting) {
        match setting {
            Setting::Customer { name, customer } => {
                let customer = Arc::new(customer.clone());
                self.customers.insert(name.clone(), customer);
            }
            Setting::Template {
                customer,
                name,
                template,
            } => {
                let key = format!("{customer}/{name}").into();
                let template = Arc::new((**template).clone());
                self.templates.insert(key, template);
            }
            Setting::DataCentre { .. } | Setting::Vm { .. } => {}
        }
    }
}

/// Reads the snapshot that is currently in effect.
#[derive(Clone, Debug)]
pub struct ConfigReader {
    current: watch::Receiver<Option<Arc<ConfigSnapshot>>>,
}

impl ConfigReader {
    /// Creates a reader of the snapshots published on a channel.
    pub fn new(current: watch::Receiver<Option<Arc<ConfigSnapshot>>>) -> Self {
        Self { current }
    }

    /// Returns the current snapshot; `None` until the configuration is recent enough to
    /// serve.
    pub fn current(&self) -> Option<Arc<ConfigSnapshot>> {
        self.current.borrow().clone()
    }
}
