//! Client for the platform's table, object store, weight store and VM list.

pub mod client;
pub mod error;
pub mod protocol;
