//! Coordination decisions for serving generations of unknown length.
//!
//! Every part is a plain struct that takes the time and a typed event and
//! yields typed actions. Nothing here performs I/O, reads a wall clock or
//! knows which transport carries its messages.

pub mod apart;
pub mod ask;
pub mod backlog;
pub mod clock;
pub mod delivery;
pub mod engine;
pub mod length;
pub mod memory;
pub mod name;
pub mod outcome;
pub mod pace;
pub mod placement;
pub mod policy;
pub mod prefix;
pub mod queue;
pub mod retry;
pub mod scheduler;
pub mod spill;
pub mod suspect;
pub mod config;
pub mod edit;
pub mod gossip;
pub mod name;
pub mod outcome;
pub mod relay;
pub mod replica;
pub mod revision;
pub mod spread;
pub mod template;
pub mod transfer;
