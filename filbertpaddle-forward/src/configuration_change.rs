//! The difference between two configurations, for links on which each change would otherwise
//! bring all routes.

use std::sync::Arc;

use filbertpaddle_core::name::Name;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::configuration::Configuration;
use crate::configuration::Customer;
use crate::configuration::Identity;
use crate::configuration::Limits;
use crate::configuration::Route;
use crate::configuration::Service;

/// Customer and its API key.
type KeyedCustomer = (Name, Customer);

/// What leads from one configuration to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationChange {
    base: Identity,
    new: Identity,
    routes: Vec<Part<Route>>,
    services: IndexMap<Name, Service>,
    customers: Option<Vec<Part<KeyedCustomer>>>,
    limits: Limits,
}

/// Consecutive entries of a list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Part<T> {
    /// Those of the former list from `first` on.
    Kept { first: usize, count: usize },
    /// New or changed ones.
    New(Vec<T>),
}

/// A change that does not fit the configuration that it is applied to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("change from configuration {} does not fit configuration {}", .base.version, .known.version)]
pub struct Mismatch {
    /// Configuration that the change starts from.
    pub base: Identity,
    /// Configuration that it was applied to.
    pub known: Identity,
}

impl ConfigurationChange {
    /// Returns what leads from `base` to `new`.
    pub fn between(base: &Configuration, new: &Configuration) -> Self {
        let customers = new.customers.as_ref().map(|new| {
            let former = base.customers.as_ref().map(keyed).unwrap_or_default();
            parts(&former, &keyed(new), |(key, _)| key)
        });
        Self {
            base: base.id(),
            new: new.id(),
            routes: parts(&base.routes, &new.routes, |route| &route.name),
            services: new.services.clone(),
            customers,
            limits: new.limits.clone(),
        }
    }

    /// Returns the configuration that the change leads to from `base`.
    ///
    /// # Errors
    ///
    /// Returns [`Mismatch`] if the change starts from another configuration.
    pub fn apply(&self, base: &Configuration) -> Result<Arc<Configuration>, Mismatch> {
        let mismatch = Mismatch {
            base: self.base,
            known: base.id(),
        };
        if mismatch.known != self.base {
            return Err(mismatch);
        }
        let customers = match &self.customers {
            Some(parts) => {
                let former = base.customers.as_ref().map(keyed).unwrap_or_default();
                let customers = joined(&former, parts).ok_or(mismatch)?;
                Some(customers.into_iter().collect())
            }
            None => None,
        };
        Ok(Arc::new(Configuration {
            version: self.new.version,
            digest: self.new.digest,
            routes: joined(&base.routes, &self.routes).ok_or(mismatch)?,
            services: self.services.clone(),
            customers,
            limits: self.limits.clone(),
        }))
    }
}

fn keyed(customers: &IndexMap<Name, Customer>) -> Vec<KeyedCustomer> {
    let entries = customers.iter();
    entries
        .map(|(key, customer)| (key.clone(), customer.clone()))
        .collect()
}

/// Splits `new` into what stands in `former` and what does not.
fn parts<T, N>(former: &[T], new: &[T], name: N) -> Vec<Part<T>>
where
    T: Clone + PartialEq,
    N: Fn(&T) -> &Name,
{
    let positions: IndexMap<&Name, usize> = former.iter().map(&name).zip(0..).collect();
    let mut parts = Vec::new();
    for entry in new {
        let position = positions.get(name(entry)).copied();
        let kept = position.filter(|position| former[*position] == *entry);
        match (kept, parts.last_mut()) {
            (Some(at), Some(Part::Kept { first, count })) if *first + *count == at => *count += 1,
            (Some(first), _) => parts.push(Part::Kept { first, count: 1 }),
            (None, Some(Part::New(entries))) => entries.push(entry.clone()),
            (None, _) => parts.push(Part::New(vec![entry.clone()])),
        }
    }
    parts
}

/// Joins parts; `None` if one refers to entries that `former` does not have.
fn joined<T>(former: &[T], parts: &[Part<T>]) -> Option<Vec<T>>
where
    T: Clone,
{
    let mut all = Vec::new();
    for part in parts {
        match part {
            Part::Kept { first, count } => {
                let end = first.checked_add(*count)?;
                all.extend_from_slice(former.get(*first..end)?);
            }
            Part::New(entries) => all.extend_from_slice(entries),
        }
    }
    Some(all)
}
