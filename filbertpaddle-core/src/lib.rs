//! Coordination decisions for serving generations of unknown length.
//!
//! Every part is a plain struct that takes the time and a typed event and
//! yields typed actions. Nothing here performs I/O, reads a wall clock or
//! knows which transport carries its messages.

pub mod attempt;
pub mod batch;
pub mod claim;
pub mod claims;
pub mod clock;
pub mod name;
pub mod outcome;
pub mod template;
