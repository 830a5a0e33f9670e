//! What the headers of a response state about its body's end and its connection.

use filbertpaddle_core::clock::Millis;
use http::HeaderMap;
use http::header;

/// Returns whether the last transfer coding is `chunked`. A response with any other is read up to
/// the end of its connection, whatever length it states.
pub(crate) fn is_chunked(headers: &HeaderMap) -> bool {
    let last_value = headers
        .get_all(header::TRANSFER_ENCODING)
        .iter()
        .next_back();
    let codings = last_value.and_then(|value| value.to_str().ok());
    let last_coding = codings.and_then(|codings| codings.rsplit(',').next());
    last_coding.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}

/// Returns the number of bytes of all names and values.
pub(crate) fn header_bytes(headers: &HeaderMap) -> usize {
    let fields = headers.iter();
    fields
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum()
}

/// Returns whether the other end closes the connection after the response.
pub(crate) fn requests_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .any(|value| value.to_ascii_lowercase().contains("close"))
}

/// Returns the other end's idle timeout from its `Keep-Alive` header.
pub(crate) fn keep_alive_ms(headers: &HeaderMap) -> Option<Millis> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    Some(Millis::from_secs(timeout.trim().parse().ok()?))
}
