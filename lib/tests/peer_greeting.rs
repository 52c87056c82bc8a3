//! What a node says first to whoever holds a peer's address.

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
async fn greeting_is_all_that_another_program_gets() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("a bound socket has an address");
    let channel = CallChannels::new(Arc::default()).get(addr);
    let request = Request::builder().uri(channel.absolute(&Uri::from_static("/secret")));
    let request = request.body(CallBody::from(Bytes::from_static(b"a deposit"))).expect("a valid request");
    let sending = tokio::spawn(async move { channel.send(request).await });
    let (mut stream, _) = listener.accept().await.expect("the node connects");
    let mut heard = Vec::new();
    let mut buffer = [0; 1_024];
    let listening = async {
        while let Ok(read @ 1..) = stream.read(&mut buffer).await {
            heard.extend_from_slice(&buffer[..read]);
        }
    };
    let _silence = tokio::time::timeout(Duration::from_millis(300), listening).await;
    drop(stream);
    assert_eq!(String::from_utf8_lossy(&heard), "yuccatray peer 1\r\n");
    let error = sending.await.expect("the sender ends").expect_err("no node answered");
    assert!(error.proves_not_executed(), "{error}");
}
