//! Digests of prompt prefixes, which identify the prefixes in a target's cache events.

use xxhash_rust::xxh3::xxh3_64;

/// Size of a block of the prompt. Only prefixes of whole blocks are cached.
pub const BLOCK_BYTES: usize = 1_024;

/// Maximum number of blocks of one prompt that are cached.
pub const MAX_BLOCKS: usize = 32;

/// Returns the digests of the prompt's cacheable prefixes, shortest first.
///
/// # Examples
///
/// ```
/// use filbertpaddle_target::prefix::BLOCK_BYTES;
/// use filbertpaddle_target::prefix::digests;
///
/// let prompt = "x".repeat(2 * BLOCK_BYTES + 1);
/// assert_eq!(digests(&prompt).len(), 2);
/// ```
pub fn digests(prompt: &str) -> Vec<u64> {
    let bytes = prompt.as_bytes();
    let blocks = (bytes.len() / BLOCK_BYTES).min(MAX_BLOCKS);
    (1..=blocks)
        .map(|block| xxh3_64(&bytes[..block * BLOCK_BYTES]))
        .collect()
}
