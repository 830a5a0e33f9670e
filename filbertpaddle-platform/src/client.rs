//! HTTP client of the platform.

use std::time::Duration;

use bytes::Bytes;
use filbertpaddle_http::client as http_client;
use filbertpaddle_http::client::Response;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::Full;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::Error;
use crate::error::NotDone;
use crate::protocol::Read;
use crate::protocol::Rows;
use crate::protocol::Scan;
use crate::protocol::TransactAnswer;
use crate::protocol::Transaction;
use crate::protocol::VmList;
use crate::protocol::WeightLeaseAnswer;
use crate::protocol::WeightLeaseRequest;

/// Connecting may take at most the whole timeout divided by this.
const CONNECT_TIMEOUT_DIVISOR: u32 = 2;
/// Maximum size of a response.
const MAX_RESPONSE_BYTES: usize = 32 << 20;

/// Client of the platform; clones share their connections.
///
/// The client never repeats a request by itself.
#[derive(Clone, Debug)]
pub struct Client {
    base: String,
    http: http_client::Client,
    timeout: Duration,
}

impl Client {
    /// Creates a client of the platform at the base URL `base`, such as
    /// `http://127.0.0.1:80`. `timeout` is the time limit of each request, including
    /// connecting.
    pub fn new(base: impl Into<String>, timeout: Duration) -> Self {
        Self {
            base: base.into(),
            // Shorter than the whole timeout, so that a hanging connect is reported as
            // such: it proves that the request was not sent.
            http: http_client::Client::new(timeout / CONNECT_TIMEOUT_DIVISOR),
            timeout,
        }
    }

    /// Applies a transaction to the table.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] if the transaction may have taken effect.
    pub async fn transact(&self, transaction: &Transaction) -> Result<TransactAnswer, Error> {
        self.post("table/transact", transaction).await
    }

    /// Reads rows by key.
    ///
    /// # Errors
    ///
    /// Returns an error if the rows could not be read.
    pub async fn read(&self, keys: Vec<String>) -> Result<Rows, Error> {
        self.post("table/read", &Read { keys }).await
    }

    /// Reads the rows with a key prefix, in key order.
    ///
    /// # Errors
    ///
    /// Returns an error if the rows could not be read.
    pub async fn scan(&self, scan: &Scan) -> Result<Rows, Error> {
        self.post("table/scan", scan).await
    }

    /// Reads an object; returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the object could not be read.
    pub async fn get_object(&self, key: &str) -> Result<Option<Vec<u8>>, Error> {
        let request = http_client::request(Method::GET, &self.url(&["object/", key]))?;
        let (status, bytes) = self.call(request).await?;
        if status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        check_status(status)?;
        Ok(Some(bytes.to_vec()))
    }

    /// Writes an object.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] if the object may have been written.
    pub async fn put_object(&self, key: &str, bytes: Vec<u8>) -> Result<(), Error> {
        let url = self.url(&["object/", key]);
        let mut request = http_client::request(Method::PUT, &url)?;
        *request.body_mut() = Full::from(bytes);
        let (status, _) = self.call(request).await?;
        check_status(status)
    }

    /// Requests a lease from the weight store, which permits loading a model's weights.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] if the lease may have been granted.
    pub async fn request_weight_lease(
        &self,
        request: &WeightLeaseRequest,
    ) -> Result<WeightLeaseAnswer, Error> {
        self.post("weights/leases", request).await
    }

    /// Reads the list of VMs, which may be outdated.
    ///
    /// # Errors
    ///
    /// Returns an error if the list could not be read.
    pub async fn vms(&self) -> Result<VmList, Error> {
        let request = http_client::request(Method::GET, &self.url(&["vms"]))?;
        self.read_json(request).await
    }

    async fn post<B, A>(&self, path: &str, body: &B) -> Result<A, Error>
    where
        B: Serialize,
        A: DeserializeOwned,
    {
        let url = self.url(&[path]);
        let body = serde_json::to_vec(body);
        let body = body.map_err(|error| NotDone::Invalid(error.to_string()))?;
        let request = http_client::json_request(Method::POST, &url, body)?;
        self.read_json(request).await
    }

    /// Sends a request and decodes the response.
    async fn read_json<A>(&self, request: Request<Full<Bytes>>) -> Result<A, Error>
    where
        A: DeserializeOwned,
    {
        let (status, bytes) = self.call(request).await?;
        check_status(status)?;
        serde_json::from_slice(&bytes).map_err(|error| Error::Unknown(error.to_string()))
    }

    /// Sends a request and reads the whole response, within the time limit.
    async fn call(&self, request: Request<Full<Bytes>>) -> Result<(StatusCode, Bytes), Error> {
        let called = async {
            let response: Response = self.http.send(request).await?;
            let status = response.status();
            let bytes = response.read_to_end(MAX_RESPONSE_BYTES).await?;
            Ok((status, bytes))
        };
        let timed_out = || Error::Unknown(format!("no response within {:?}", self.timeout));
        tokio::time::timeout(self.timeout, called)
            .await
            .map_err(|_| timed_out())?
    }

    fn url(&self, path: &[&str]) -> String {
        format!("{}/{}", self.base, path.concat())
    }
}

fn check_status(status: StatusCode) -> Result<(), Error> {
    match status {
        status if status.is_success() => Ok(()),
        StatusCode::TOO_MANY_REQUESTS => Err(Error::NotDone(NotDone::RateLimited)),
        StatusCode::SERVICE_UNAVAILABLE => Err(Error::NotDone(NotDone::Unavailable)),
        status => Err(Error::Unknown(format!("status {status}"))),
    }
}
