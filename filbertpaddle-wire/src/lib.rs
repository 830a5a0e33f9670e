//! Messages between filbertpaddle nodes and their encoding.
//!
//! A connection starts with a [`greeting::Greeting`] in each direction and
//! then carries frames, each a batch of [`message::Message`] values as CBOR.

pub mod claim;
pub mod config;
pub mod frame;
pub mod grant;
pub mod greeting;
pub mod member;
pub mod message;
pub mod name_table;
pub mod remote;
pub mod setting;
