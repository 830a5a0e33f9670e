//! Coordination decisions for serving generations of unknown length.
//!
//! Every part is a plain struct that takes the time and a typed event and
//! yields typed actions. Nothing here performs I/O, reads a wall clock or
//! knows which transport carries its messages.

pub mod clock;
pub mod ledger;
pub mod limit;
pub mod member;
pub mod name;
pub mod outcome;
pub mod owner;
pub mod peer;
pub mod report;
pub mod roster;
pub mod slot;
pub mod standing;
pub mod template;
pub mod terms;
