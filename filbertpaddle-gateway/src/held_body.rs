//! Bodies that requests hold until they end, as they may be sent once more, and their sum.

use std::fmt;
use std::rc::Rc;

use bytes::Bytes;

use crate::state::State;

/// The body of a request; counted by the node until its last clone is dropped.
#[derive(Clone)]
pub struct HeldBody(Rc<Counted>);

struct Counted {
    state: Rc<State>,
    bytes: Bytes,
}

impl fmt::Debug for HeldBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HeldBody").finish_non_exhaustive()
    }
}

impl HeldBody {
    /// Counts a body that has been received.
    pub fn new(state: &Rc<State>, bytes: Bytes) -> Self {
        let held_bytes = &state.held_bytes;
        held_bytes.set(held_bytes.get() + bytes.len());
        Self(Rc::new(Counted {
            state: Rc::clone(state),
            bytes,
        }))
    }

    /// Returns the body.
    pub fn bytes(&self) -> &Bytes {
        &self.0.bytes
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        let held_bytes = &self.state.held_bytes;
        held_bytes.set(held_bytes.get().saturating_sub(self.bytes.len()));
    }
}
