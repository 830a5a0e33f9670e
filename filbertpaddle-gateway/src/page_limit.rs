//! Limit on a table or list of the store that is read page by page.
//!
//! Load pattern: a faulty store states a further page after each, without end.

/// Maximum size of all pages together.
const MAX_BYTES: usize = 32 << 20;
/// Size that each page counts as at least, so that empty ones end too.
const MIN_PAGE_BYTES: usize = 32 << 10;

/// Size of the pages that were read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PageLimit {
    bytes: usize,
}

/// The pages are larger together than they may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("pages of the store take more than {MAX_BYTES} bytes")]
pub struct TooManyPages;

impl PageLimit {
    /// Creates a limit of which nothing is used.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a page.
    ///
    /// # Errors
    ///
    /// Returns [`TooManyPages`] if the pages exceed the limit.
    pub fn add(&mut self, bytes: usize) -> Result<(), TooManyPages> {
        self.bytes += bytes.max(MIN_PAGE_BYTES);
        match self.bytes <= MAX_BYTES {
            true => Ok(()),
            false => Err(TooManyPages),
        }
    }
}
