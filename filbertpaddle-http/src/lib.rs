//! What processes read from their HTTP peers, with limits on bytes without progress or end.

pub mod buffer_limit;
pub mod client;
mod connector;
pub mod metered_stream;
pub mod status;
