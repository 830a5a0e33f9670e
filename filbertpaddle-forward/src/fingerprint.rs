//! Fingerprints of a request: what it has in common with others that may crash targets.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::request_metadata::GenerationSize;

/// Seed of the fingerprints of prompt parts, which keeps them apart from those of requests.
const PART_SEED: u64 = 1;

/// Returns the fingerprints of a request: first that of path, customer and body, which a
/// repeated request has too, then those of the prompt parts that other requests may share. The
/// last part belongs to the request or its session alone.
pub fn fingerprints(
    path: &str,
    customer: Option<&str>,
    body: &[u8],
    generation: Option<&GenerationSize>,
) -> Vec<u64> {
    let parts = generation.map_or(&[][..], |generation| &generation.prompt_parts);
    let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
    let of_parts = shared
        .iter()
        .map(|(id, _)| xxh3_64_with_seed(id.as_bytes(), PART_SEED));
    std::iter::once(of_request(path, customer, body))
        .chain(of_parts)
        .collect()
}

fn of_request(path: &str, customer: Option<&str>, body: &[u8]) -> u64 {
    let seed = xxh3_64_with_seed(customer.unwrap_or_default().as_bytes(), 0);
    xxh3_64_with_seed(body, xxh3_64_with_seed(path.as_bytes(), seed))
}
