//! A node: the process between callers and back ends.

mod bounds;
pub mod caller;
mod claim_actor;
mod claim_store;
pub mod claims;
pub mod cli;
pub mod clock;
pub mod front;
mod generation;
pub mod health;
pub mod inbox;
pub mod log;
pub mod metrics;
pub mod node;
mod output;
pub mod peers;
pub mod pools;
mod reply;
pub mod request;
pub mod run;
pub mod settings;
pub mod templates;
pub mod ticket;
