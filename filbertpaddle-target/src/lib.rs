//! Client for targets, which are model engines and plain services: its HTTP requests, the
//! token streams and the JSON protocol.

pub mod client;
pub mod error;
pub mod prefix;
pub mod protocol;
pub mod stream;
