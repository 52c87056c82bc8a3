//! A minimal HTTP/1.1 client for a single exchange.

use std::net::SocketAddr;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::header::HOST;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Sends a request over a new HTTP/1.1 connection and reads the whole answer.
///
/// A missing `host` field is set to `addr`.
///
/// # Panics
///
/// When the connection fails or the answer is incomplete.
pub async fn send_request(addr: SocketAddr, mut request: Request<Bytes>) -> Response<Bytes> {
    let host = addr.to_string().parse().expect("an address is a valid header value");
    request.headers_mut().entry(HOST).or_insert(host);
    let stream = TcpStream::connect(addr).await.expect("the server listens");
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.expect("the handshake succeeds");
    let driver = tokio::spawn(connection);
    let response = sender.send_request(request.map(Full::new)).await.expect("the server answers");
    let (head, body) = response.into_parts();
    let body = body.collect().await.expect("the answer is complete").to_bytes();
    driver.abort();
    Response::from_parts(head, body)
}
