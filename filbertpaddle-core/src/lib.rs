//! Coordination decisions for serving generations of unknown length.
//!
//! Every part is a plain struct that takes the time and a typed event and
//! yields typed actions. Nothing here performs I/O, reads a wall clock or
//! knows which transport carries its messages.

pub mod clock;
pub mod config;
pub mod edit;
pub mod gossip;
pub mod name;
pub mod outcome;
pub mod policy;
pub mod relay;
pub mod replica;
pub mod revision;
pub mod scheduler;
pub mod service;
pub mod spread;
pub mod template;
pub mod transfer;
