//! Markers in prompts and bodies, by which the load tool recognises its requests at targets.

/// Text directly before a marker.
pub const MARKER_PREFIX: &str = "run-id=";

/// Returns the marker in a prompt or body, if there is one.
///
/// # Examples
///
/// ```
/// use filbertpaddle_standins::marker;
///
/// assert_eq!(marker::find("menu run-id=7-12; week 3"), Some("7-12".to_owned()));
/// assert_eq!(marker::find("menu"), None);
/// ```
pub fn find(text: &str) -> Option<String> {
    let (_, rest) = text.split_once(MARKER_PREFIX)?;
    let end = rest.find(|c: char| !c.is_ascii_alphanumeric() && c != '-');
    Some(rest[..end.unwrap_or(rest.len())].to_owned())
}
