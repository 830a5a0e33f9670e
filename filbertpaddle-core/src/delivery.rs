//! Delivery of one answer to its caller: each token once, in order and from a single
//! generation.

use crate::name::Name;
use crate::outcome::Outcome;
use crate::outcome::Reason;

/// Event on the target's stream of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// A token arrived.
    Token {
        /// Attempt that the event names.
        attempt: Name,
        /// Position of the token, from zero.
        index: u32,
    },
    /// The generation ended at the target.
    End {
        /// Attempt that the event names.
        attempt: Name,
        /// Total number of tokens of the generation.
        tokens: u32,
    },
    /// The generation was cancelled at the target.
    Cancelled {
        /// Attempt that the event names.
        attempt: Name,
    },
    /// The stream broke; the target may still be running the attempt.
    Broken,
    /// The target is gone or no longer has the attempt.
    Lost,
}

/// Action to take after an event.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Pass the token on to the caller.
    Deliver,
    /// Drop the event, which belongs to another attempt.
    DropForeign,
    /// Drop the event, since its token was already delivered.
    DropDuplicate,
    /// Request the stream from the target again, starting at this index.
    Resume {
        /// Position of the next token to deliver.
        from: u32,
    },
    /// Abandon this attempt and start a new one on another target.
    Restart,
    /// Report the final outcome to the caller.
    Finish(Outcome),
}

/// Properties of a request that decide whether it may restart when a target fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RestartPolicy {
    /// Whether the request may safely run twice.
    pub idempotent: bool,
    /// Whether the caller receives nothing until the answer is complete.
    pub buffered: bool,
}

/// Maximum number of consecutive resumes of one attempt without a new token.
pub const MAX_RESUMES_WITHOUT_PROGRESS: u32 = 3;

/// Delivery state of one answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Delivery {
    restart_policy: RestartPolicy,
    attempt: Name,
    next_index: u32,
    resumes_without_progress: u32,
}

impl Delivery {
    /// Creates the delivery of an attempt that is about to be sent.
    pub fn new(restart_policy: RestartPolicy, attempt: Name) -> Self {
        Self::resumed(restart_policy, attempt, 0)
    }

    /// Creates the delivery of an attempt whose tokens before `from` the caller already has.
    pub fn resumed(restart_policy: RestartPolicy, attempt: Name, from: u32) -> Self {
        Self {
            restart_policy,
            attempt,
            next_index: from,
            resumes_without_progress: 0,
        }
    }

    /// Returns the attempt whose tokens are delivered.
    pub fn attempt(&self) -> &Name {
        &self.attempt
    }

    /// Returns the number of tokens delivered so far.
    pub fn delivered_tokens(&self) -> u32 {
        self.next_index
    }

    /// Replaces a lost attempt after [`Action::Restart`].
    pub fn restart(&mut self, attempt: Name) {
        self.attempt = attempt;
        self.next_index = 0;
        self.resumes_without_progress = 0;
    }

    /// Handles one event and returns the action to take.
    pub fn on(&mut self, event: &Event) -> Action {
        match event {
            Event::Token { attempt, index } => self.on_token(attempt, *index),
            Event::End { attempt, tokens } => self.on_end(attempt, *tokens),
            Event::Cancelled { attempt } if *attempt != self.attempt => Action::DropForeign,
            Event::Cancelled { .. } => Action::Finish(self.interrupted_outcome(Reason::Cancelled)),
            Event::Broken => self.resume(),
            Event::Lost => self.on_lost(),
        }
    }

    fn on_token(&mut self, attempt: &Name, index: u32) -> Action {
        if *attempt != self.attempt {
            return Action::DropForeign;
        }
        if index < self.next_index {
            return Action::DropDuplicate;
        }
        if index > self.next_index {
            return self.resume();
        }
        self.next_index += 1;
        self.resumes_without_progress = 0;
        Action::Deliver
    }

    fn on_end(&mut self, attempt: &Name, tokens: u32) -> Action {
        if *attempt != self.attempt {
            return Action::DropForeign;
        }
        if tokens > self.next_index {
            return self.resume();
        }
        Action::Finish(Outcome::Complete {
            tokens: self.next_index,
        })
    }

    fn resume(&mut self) -> Action {
        if self.resumes_without_progress >= MAX_RESUMES_WITHOUT_PROGRESS {
            return self.on_lost();
        }
        self.resumes_without_progress += 1;
        Action::Resume {
            from: self.next_index,
        }
    }

    // Tokens of two generations are never mixed, so an answer restarts only if
    // the caller has received none of it.
    fn on_lost(&self) -> Action {
        let nothing_delivered = self.restart_policy.buffered || self.next_index == 0;
        if self.restart_policy.idempotent && nothing_delivered {
            return Action::Restart;
        }
        Action::Finish(self.interrupted_outcome(Reason::TargetFailed))
    }

    /// Returns the outcome of an answer that the node gives up.
    pub fn give_up(&self) -> Outcome {
        self.interrupted_outcome(Reason::TargetFailed)
    }

    fn interrupted_outcome(&self, reason: Reason) -> Outcome {
        if !self.restart_policy.idempotent {
            return Outcome::MayHaveRun { reason };
        }
        Outcome::Incomplete {
            tokens: self.next_index,
            reason,
        }
    }
}
