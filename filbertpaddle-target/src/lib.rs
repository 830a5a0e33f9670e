//! Client for model engines and plain services.

pub mod client;
pub mod error;
pub mod prefix;
pub mod protocol;
pub mod stream;
