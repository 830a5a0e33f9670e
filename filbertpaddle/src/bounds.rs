//! Checks on single settings, so that errors carry their line.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use serde::Deserialize;
use serde::Deserializer;
use serde::de::Error;

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
    let name = Name::deserialize(deserializer)?;
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(plain) {
        return Err(D::Error::custom(
            "a name has 1 to 64 letters, digits, hyphens, underscores or dots",
        ));
    }
    Ok(name)
}

pub(crate) fn secret<'de, D>(deserializer: D) -> Result<String, D::Error>
where
    D: Deserializer<'de>,
{
    let secret = String::deserialize(deserializer)?;
    if secret.len() < MIN_SECRET_BYTES {
        return Err(D::Error::custom("a secret has at least 16 bytes"));
    }
    Ok(secret)
}

pub(crate) fn sha256_hex<'de, D>(deserializer: D) -> Result<String, D::Error>
where
    D: Deserializer<'de>,
{
    let digest = String::deserialize(deserializer)?;
    let hex = digest
        .bytes()
        .all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
    if digest.len() != SHA256_HEX_DIGITS || !hex {
        return Err(D::Error::custom(
            "a digest has 64 lower-case hexadecimal digits",
        ));
    }
    Ok(digest)
}

pub(crate) fn timeout_ms<'de, D>(deserializer: D) -> Result<Millis, D::Error>
where
    D: Deserializer<'de>,
{
    let timeout_ms = u64::deserialize(deserializer)?;
    if timeout_ms == 0 || timeout_ms > MAX_TIMEOUT_MS {
        return Err(D::Error::custom("a timeout is from 1 to 600000 ms"));
    }
    Ok(Millis(timeout_ms))
}

pub(crate) fn body_bytes<'de, D>(deserializer: D) -> Result<u64, D::Error>
where
    D: Deserializer<'de>,
{
    let bytes = u64::deserialize(deserializer)?;
    if bytes == 0 || bytes > MAX_BODY_BYTES {
        return Err(D::Error::custom("a body limit is from 1 byte to 64 MiB"));
    }
    Ok(bytes)
}

pub(crate) fn requests<'de, D>(deserializer: D) -> Result<usize, D::Error>
where
    D: Deserializer<'de>,
{
    let requests = usize::deserialize(deserializer)?;
    if requests == 0 || requests > MAX_REQUESTS {
        return Err(D::Error::custom("a request limit is from 1 to 1048576"));
    }
    Ok(requests)
}
