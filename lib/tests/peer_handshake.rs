//! The handshake line that a node sends first on a connection to a peer's address.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Uri;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use yuccatray::transport::call_body::CallBody;
use yuccatray::transport::peer_channel::CallChannels;

#[tokio::test]
async fn handshake_line_is_all_that_an_unknown_listener_receives() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a free port");
    let addr = listener.local_addr().expect("a bound socket has an address");
    let channel = CallChannels::new(Arc::default()).get(addr);
    let request = Request::builder().uri(channel.absolute(&Uri::from_static("/secret")));
    let request =
        request.body(CallBody::from(Bytes::from_static(b"a deposit"))).expect("the request is valid");
    let sending = tokio::spawn(async move { channel.send(request).await });
    let (mut stream, _) = listener.accept().await.expect("the node connects");
    let mut received = Vec::new();
    let mut buffer = [0; 1_024];
    let reading = async {
        while let Ok(length @ 1..) = stream.read(&mut buffer).await {
            received.extend_from_slice(&buffer[..length]);
        }
    };
    let _timeout = tokio::time::timeout(Duration::from_millis(300), reading).await;
    drop(stream);
    assert_eq!(String::from_utf8_lossy(&received), "yuccatray peer 1\r\n");
    let error = sending
        .await
        .expect("the sender does not panic")
        .expect_err("a listener that is not a node does not answer");
    assert!(error.proves_not_executed(), "{error}");
}
