//! Connections of the client, each with a meter that its responses carry.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use http::Uri;
use hyper_util::client::legacy::connect::Connected;
use hyper_util::client::legacy::connect::Connection;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tower_service::Service;

use crate::metered_stream::MeteredStream;
use crate::metered_stream::ReadMeter;

/// Meter of the connection on which a response arrives, among the extensions of the response.
#[derive(Clone, Debug)]
pub(crate) struct MeterHandle(pub(crate) Arc<ReadMeter>);

/// Opens connections.
#[derive(Clone, Debug)]
pub(crate) struct Connector(HttpConnector);

type Stream = TokioIo<MeteredStream<TcpStream>>;
type Error = <HttpConnector as Service<Uri>>::Error;

impl Connector {
    pub(crate) fn new(connect_timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(connect_timeout));
        connector.set_nodelay(true);
        Self(connector)
    }
}

impl Service<Uri> for Connector {
    type Response = Stream;
    type Error = Error;
    type Future = Pin<Box<dyn Future<Output = Result<Stream, Error>> + Send>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Error>> {
        self.0.poll_ready(context)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connecting = self.0.call(uri);
        Box::pin(async move {
            let stream = connecting.await?.into_inner();
            Ok(TokioIo::new(MeteredStream::new(stream, ReadMeter::new())))
        })
    }
}

impl Connection for MeteredStream<TcpStream> {
    fn connected(&self) -> Connected {
        Connected::new().extra(MeterHandle(Arc::clone(self.meter())))
    }
}
