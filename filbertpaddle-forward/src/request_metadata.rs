//! Metadata of a request, decoded from its headers.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;

/// Metadata of a request, decoded once from the headers that its caller sent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestMetadata {
    /// Attempt ID that the caller assigned.
    pub attempt: Name,
    /// Time that the caller waits for the response, counted from when the request was read.
    pub deadline_ms: Option<Millis>,
    /// API key of the caller.
    pub key: Option<Name>,
    /// Size of a generation; `None` for other requests.
    pub generation: Option<GenerationSize>,
    /// ID of the last event that the caller received, if it resumes a stream.
    pub last_event: Option<u64>,
    /// Attempt that received the first event of the stream, if it resumes one.
    pub resumed_attempt: Option<Name>,
}

impl RequestMetadata {
    /// Returns the IDs of the first parts of a generation's prompt, for logs.
    pub fn part_ids(&self) -> Option<String> {
        self.generation.as_ref().map(GenerationSize::part_ids)
    }
}

/// Size of a generation, as stated by its caller.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GenerationSize {
    /// Number of tokens of the prompt.
    pub prompt_tokens: u32,
    /// Maximum number of tokens of the output.
    pub max_output_tokens: u32,
    /// Caller's estimate of the number of tokens of the output.
    pub output_estimate_tokens: Option<u32>,
    /// Parts of the prompt in order, each with its ID and number of tokens.
    pub prompt_parts: Vec<(Name, u32)>,
}

/// Number of prompt parts that a log line names.
const LOGGED_PARTS: usize = 8;

impl GenerationSize {
    /// Returns the IDs of the first parts of the prompt, for logs.
    pub fn part_ids(&self) -> String {
        let ids = self.prompt_parts.iter().take(LOGGED_PARTS);
        let ids: Vec<&str> = ids.map(|(id, _)| id.as_str()).collect();
        ids.join(",")
    }

    /// Returns the expected number of output tokens: the caller's estimate, if there is one,
    /// and at most the maximum.
    pub fn expected_output_tokens(&self) -> u32 {
        self.output_estimate_tokens
            .map_or(self.max_output_tokens, |estimate| {
                estimate.min(self.max_output_tokens)
            })
    }

    /// Returns the memory, in tokens, that the generation is expected to need when it ends.
    pub fn expected_tokens(&self) -> u32 {
        self.prompt_tokens
            .saturating_add(self.expected_output_tokens())
    }
}
