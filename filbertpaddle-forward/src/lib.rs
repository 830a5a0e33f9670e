//! Decision logic of the forwarding path: routing, target selection, retry budgets,
//! draining and the migration of running generations.
//!
//! As in `filbertpaddle-core`, nothing here performs I/O or reads a clock.

pub mod admission;
pub mod change;
pub mod cold_limit;
pub mod configuration;
pub mod direct_path;
pub mod directory;
pub mod drain;
pub mod ended_response;
pub mod event_order;
pub mod event_stream;
pub mod features;
pub mod fingerprint;
pub mod freshness;
pub mod handover;
pub mod idle_output;
pub mod invalid_entries;
pub mod leaving_targets;
pub mod load_table;
pub mod migration;
pub mod node_rank;
pub mod peer_silence;
pub mod placement_cost;
pub mod reachability;
pub mod refusal_limit;
pub mod relay_choice;
pub mod request_demand;
pub mod request_metadata;
pub mod retry_budget;
pub mod revision;
pub mod rollout;
pub mod same_target;
pub mod service_pace;
pub mod service_path;
pub mod silent_target;
pub mod software_version;
pub mod stated_rate;
pub mod store_reading;
pub mod stream_end;
pub mod stream_origin;
pub mod stream_pace;
pub mod stream_versions;
pub mod target;
pub mod target_health;
pub mod target_list;
pub mod target_records;
pub mod target_selector;
pub mod token_bucket;
pub mod version_record;
