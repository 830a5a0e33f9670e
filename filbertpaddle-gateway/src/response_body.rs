//! Bodies of responses.

use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use filbertpaddle_core::name::Name;
use filbertpaddle_http::buffer_limit::BufferedBytes;
use http::HeaderMap;
use http_body_util::BodyExt;
use hyper::body::Body as _;
use hyper::body::Incoming;
use tokio::select;
use tokio::time::timeout;

use crate::connection_headers::is_chunked;
use crate::connection_pool::Connection;
use crate::connection_pool::ConnectionPool;
use crate::connection_pool::Error;

/// The body of a response. Dropping it closes the connection;
/// [`Body::recycle`] returns the connection to the pool.
pub struct Body {
    incoming: Incoming,
    connection: Connection,
    buffered: Arc<BufferedBytes>,
    address: Name,
    pool: Rc<ConnectionPool>,
}

impl Body {
    /// Creates the body of a response on a connection, whose head is counted by `buffered`.
    pub(crate) fn new(
        incoming: Incoming,
        connection: Connection,
        buffered: Arc<BufferedBytes>,
        address: Name,
        pool: Rc<ConnectionPool>,
    ) -> Self {
        Self {
            incoming,
            connection,
            buffered,
            address,
            pool,
        }
    }

    /// Waits for the next bytes; returns `None` at the end. Cancel-safe.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] or [`Error::RelayLost`] if the response breaks off, or has to be
    /// given up.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Error> {
        loop {
            let frame = select! {
                biased;
                frame = self.incoming.frame() => frame,
                limit = self.buffered.evicted() => return Err(limit.into()),
            };
            let Some(frame) = frame else {
                return Ok(None);
            };
            let frame = frame.map_err(|error| self.connection.lost(&error))?;
            if let Ok(bytes) = frame.into_data() {
                self.connection.meter.record_delivered(bytes.len());
                return Ok(Some(bytes));
            }
        }
    }

    /// Reads the rest of the body, within the limits on what is buffered.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] if the response breaks off or exceeds a limit.
    pub async fn read_to_end(&mut self) -> Result<Bytes, Error> {
        self.read_all(async |body| body.next().await).await
    }

    /// Does the same, and fails if a further part takes longer than `part_limit`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] if the response breaks off, exceeds a limit or stalls.
    pub async fn read_parts(&mut self, part_limit: Duration) -> Result<Bytes, Error> {
        self.read_all(async |body| {
            let next = timeout(part_limit, body.next()).await;
            next.map_err(|_| Error::timed_out(part_limit))?
        })
        .await
    }

    /// Reads the parts that `next` returns until the body has ended.
    async fn read_all<N>(&mut self, next: N) -> Result<Bytes, Error>
    where
        N: AsyncFn(&mut Self) -> Result<Option<Bytes>, Error>,
    {
        let mut all = BytesMut::new();
        while let Some(more) = next(self).await? {
            self.buffered.add(more.len())?;
            all.extend_from_slice(&more);
        }
        Ok(all.freeze())
    }

    /// Records how much of the body its reader buffers.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] if the response has to be given up.
    pub fn record_buffered(&self, bytes: usize) -> Result<(), Error> {
        Ok(self.buffered.set(bytes)?)
    }

    /// Waits until the response has to be given up for others. Cancel-safe.
    pub async fn evicted(&self) {
        self.buffered.evicted().await;
    }

    /// Returns whether the response has to be given up for others.
    pub fn is_evicted(&self) -> bool {
        self.buffered.is_evicted()
    }

    /// Returns whether the body ends with its connection, as it has neither a length nor chunks.
    /// `headers` are those of its response.
    pub fn is_unframed(&self, headers: &HeaderMap) -> bool {
        self.incoming.size_hint().exact().is_none() && !is_chunked(headers)
    }

    /// Returns whether another node relays the connection.
    pub fn is_relayed(&self) -> bool {
        self.connection.is_relayed
    }

    /// Returns the connection of a fully read body to the pool, unless the response's
    /// headers announce that it closes.
    pub fn recycle(self, headers: &HeaderMap) {
        let Self {
            connection,
            address,
            pool,
            ..
        } = self;
        pool.return_idle(address, connection, headers);
    }
}

impl fmt::Debug for Body {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let address = &self.address;
        f.debug_struct("Body").field("address", address).finish()
    }
}
