//! What a caller's headers say of its request.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;

/// What a caller's headers say of its request, decoded once.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestMetadata {
    /// The caller's identity of this attempt.
    pub attempt: Name,
    /// How long the caller waits, from the moment it was read.
    pub deadline_ms: Option<Millis>,
    /// The caller's key.
    pub key: Option<Name>,
    /// Size of a generation; `None` for other requests.
    pub generation: Option<GenerationSize>,
    /// Last event that the caller has of a stream that it resumes.
    pub last_event: Option<u64>,
}

/// Size of a generation as its caller states it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GenerationSize {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens of the output.
    pub max_output_tokens: u32,
    /// The caller's estimate of the output's length.
    pub output_estimate_tokens: Option<u32>,
    /// Parts of the prompt in order: identity and tokens.
    pub prompt_parts: Vec<(Name, u32)>,
}

impl GenerationSize {
    /// Output tokens to plan with.
    pub fn expected_output_tokens(&self) -> u32 {
        self.output_estimate_tokens
            .map_or(self.max_output_tokens, |estimate| {
                estimate.min(self.max_output_tokens)
            })
    }

    /// Memory that the generation is expected to need at its end.
    pub fn expected_tokens(&self) -> u32 {
        self.prompt_tokens
            .saturating_add(self.expected_output_tokens())
    }
}
