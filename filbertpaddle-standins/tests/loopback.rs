//! Test of the hosts of tests.

use std::io::ErrorKind;

use filbertpaddle_standins::loopback::next_host;
use filbertpaddle_standins::proxy::Proxy;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

// The soak's clusters once shared one host, and callers of one reached targets of another.
#[tokio::test]
async fn a_port_that_one_host_frees_leads_to_no_other_host() {
    let upstream = TcpListener::bind((next_host(), 0)).await.unwrap();
    let proxy = Proxy::start(upstream.local_addr().unwrap()).await.unwrap();
    let freed = proxy.address;
    proxy.close().await;
    let _other = TcpListener::bind((next_host(), freed.port()))
        .await
        .unwrap();
    let connected = TcpStream::connect(freed).await;
    assert_eq!(connected.unwrap_err().kind(), ErrorKind::ConnectionRefused);
}
