//! Deserializers that validate single settings, so that an error names its line.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use serde::Deserialize;
use serde::Deserializer;
use serde::de::Error;
use serde_saphyr::Spanned;

const MAX_NAME_BYTES: usize = 64;
const MIN_SECRET_BYTES: usize = 16;
const SHA256_HEX_DIGITS: usize = 64;
const MAX_TIMEOUT_MS: u64 = 600_000;
const MAX_BODY_BYTES: u64 = 64 << 20;
const MAX_REQUESTS: usize = 1 << 20;

pub(crate) fn name<'de, D>(deserializer: D) -> Result<Name, D::Error>
where
    D: Deserializer<'de>,
{
    let reason = "a name has 1 to 64 letters, digits, hyphens, underscores or dots";
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    validated(deserializer, reason, |name: &Name| {
        !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(plain)
    })
}

pub(crate) fn secret<'de, D>(deserializer: D) -> Result<String, D::Error>
where
    D: Deserializer<'de>,
{
    let reason = "a secret has at least 16 bytes";
    validated(deserializer, reason, |secret: &String| {
        secret.len() >= MIN_SECRET_BYTES
    })
}

pub(crate) fn sha256_hex<'de, D>(deserializer: D) -> Result<String, D::Error>
where
    D: Deserializer<'de>,
{
    let reason = "a digest has 64 lower-case hexadecimal digits";
    let hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    validated(deserializer, reason, |digest: &String| {
        digest.len() == SHA256_HEX_DIGITS && digest.bytes().all(hex)
    })
}

pub(crate) fn timeout_ms<'de, D>(deserializer: D) -> Result<Millis, D::Error>
where
    D: Deserializer<'de>,
{
    let reason = "a timeout is from 1 to 600000 ms";
    validated(deserializer, reason, |timeout_ms: &u64| {
        (1..=MAX_TIMEOUT_MS).contains(timeout_ms)
    })
    .map(Millis)
}

pub(crate) fn body_bytes<'de, D>(deserializer: D) -> Result<u64, D::Error>
where
    D: Deserializer<'de>,
{
    let reason = "a body limit is from 1 byte to 64 MiB";
    validated(deserializer, reason, |bytes: &u64| {
        (1..=MAX_BODY_BYTES).contains(bytes)
    })
}

pub(crate) fn requests<'de, D>(deserializer: D) -> Result<usize, D::Error>
where
    D: Deserializer<'de>,
{
    let reason = "a request limit is from 1 to 1048576";
    validated(deserializer, reason, |requests: &usize| {
        (1..=MAX_REQUESTS).contains(requests)
    })
}

/// Deserializes a value and validates it. The error includes the line, because serde's
/// custom errors have no location.
fn validated<'de, D, T, F>(deserializer: D, reason: &str, valid: F) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
    F: FnOnce(&T) -> bool,
{
    let spanned = Spanned::<T>::deserialize(deserializer)?;
    if valid(&spanned.value) {
        return Ok(spanned.value);
    }
    let line = spanned.referenced.line();
    Err(D::Error::custom(format!("line {line}: {reason}")))
}
