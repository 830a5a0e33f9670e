//! Coordination decisions for serving generations of unknown length.
//!
//! Every part is a plain struct that takes the time and a typed event and
//! yields typed actions. Nothing here performs I/O, reads a wall clock or
//! knows which transport carries its messages.

pub mod apart;
pub mod attempt;
pub mod backlog;
pub mod batch;
pub mod claim;
pub mod claims;
pub mod clock;
pub mod commit;
pub mod config;
pub mod delivery;
pub mod edit;
pub mod engine;
pub mod gossip;
pub mod grant_mode;
pub mod ledger;
pub mod length;
pub mod limit;
pub mod member;
pub mod membership;
pub mod memory;
pub mod name;
pub mod orders;
pub mod outcome;
pub mod overflow;
pub mod owner;
pub mod pace;
pub mod peer;
pub mod placement;
pub mod policy;
pub mod prefix;
pub mod queue;
pub mod relay;
pub mod replica;
pub mod report;
pub mod retry;
pub mod revision;
pub mod roster;
pub mod scheduler;
pub mod service;
pub mod slot;
pub mod slot_request;
pub mod spread;
pub mod suspect;
pub mod sweep;
pub mod template;
pub mod timing;
pub mod transfer;
