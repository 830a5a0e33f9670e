//! Client for model engines and plain services.

pub mod protocol;
