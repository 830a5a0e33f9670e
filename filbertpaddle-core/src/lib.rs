//! Coordination decisions for serving generations of unknown length.
//!
//! Each component is a plain struct that takes the current time and a typed
//! event and returns typed actions. The crate performs no I/O, reads no clock
//! and does not depend on the transport of its messages.

pub mod answered;
pub mod attempt;
pub mod availability;
pub mod block_record;
pub mod byte_quota;
pub mod claim;
pub mod claims;
pub mod clock;
pub mod commit;
pub mod config;
pub mod crash_attribution;
pub mod delivery;
pub mod edit;
pub mod gossip;
pub mod grant_mode;
pub mod group_commit;
pub mod isolated_queue;
pub mod ledger;
pub mod limit;
pub mod member;
pub mod membership;
pub mod memory_forecast;
pub mod name;
pub mod outcome;
pub mod output_length;
pub mod overflow;
pub mod owner;
pub mod peer;
pub mod placement;
pub mod placement_rate;
pub mod policy;
pub mod poll_choice;
pub mod prefix_cache;
pub mod queue;
pub mod read_progress;
pub mod reconciler;
pub mod relay;
pub mod replica;
pub mod replicator;
pub mod report;
pub mod retry;
pub mod revision;
pub mod roster;
pub mod scheduler;
pub mod scheduler_quarantine;
pub mod slot;
pub mod slot_request;
pub mod suspect;
pub mod sweep;
pub mod target_state;
pub mod template;
pub mod timing;
pub mod token_gap;
pub mod transfer;
