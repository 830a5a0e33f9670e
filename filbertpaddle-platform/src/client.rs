//! HTTP client of the platform.

use std::time::Duration;

use reqwest::Response;
use reqwest::StatusCode;
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

/// Client of the platform; clones share their connections.
///
/// The client never repeats a request by itself.
#[derive(Clone, Debug)]
pub struct Client {
    base: String,
    http: reqwest::Client,
}

impl Client {
    /// Creates a client of the platform at the base URL `base`, such as
    /// `http://127.0.0.1:80`. `timeout` is the time limit of each request, including
    /// connecting.
    ///
    /// # Errors
    ///
    /// Returns [`NotDone::Invalid`] if the HTTP client cannot be set up.
    pub fn new(base: impl Into<String>, timeout: Duration) -> Result<Self, Error> {
        let http = reqwest::Client::builder()
            .timeout(timeout)
            // Shorter than the whole timeout, so that a hanging connect is reported as
            // such: it proves that the request was not sent.
            .connect_timeout(timeout / CONNECT_TIMEOUT_DIVISOR)
            .no_proxy()
            .build()?;
        Ok(Self {
            base: base.into(),
            http,
        })
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
        let response = self.http.get(self.url(&["object/", key])).send().await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let bytes = check_status(response)?.bytes().await?;
        Ok(Some(bytes.to_vec()))
    }

    /// Writes an object.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] if the object may have been written.
    pub async fn put_object(&self, key: &str, bytes: Vec<u8>) -> Result<(), Error> {
        let url = self.url(&["object/", key]);
        let response = self.http.put(url).body(bytes).send().await?;
        check_status(response)?;
        Ok(())
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
        let response = self.http.get(self.url(&["vms"])).send().await?;
        Ok(check_status(response)?.json().await?)
    }

    async fn post<B, A>(&self, path: &str, body: &B) -> Result<A, Error>
    where
        B: Serialize,
        A: DeserializeOwned,
    {
        let url = self.url(&[path]);
        let response = self.http.post(url).json(body).send().await?;
        Ok(check_status(response)?.json().await?)
    }

    fn url(&self, path: &[&str]) -> String {
        format!("{}/{}", self.base, path.concat())
    }
}

fn check_status(response: Response) -> Result<Response, Error> {
    match response.status() {
        status if status.is_success() => Ok(response),
        StatusCode::TOO_MANY_REQUESTS => Err(Error::NotDone(NotDone::RateLimited)),
        StatusCode::SERVICE_UNAVAILABLE => Err(Error::NotDone(NotDone::Unavailable)),
        status => Err(Error::Unknown(format!("status {status}"))),
    }
}
