//! Client for the admin HTTP interface of a node.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::header::HOST;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::Limited;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use yuccatray::transport::admin_server::NodeReport;

use crate::cli_error::CliError;
use crate::cli_error::Result;

/// Largest accepted head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 65_536;
/// Largest accepted report of a node, in bytes.
const MAX_REPORT_BYTES: usize = 8_388_608;

/// Sends a request to the admin address of a node and returns the report from its response.
///
/// Fails with [`CliError::Node`] if the node does not return a valid report within `timeout`.
pub async fn request_report(
    node: SocketAddr,
    method: Method,
    path: &str,
    timeout: Duration,
) -> Result<NodeReport> {
    let to_error =
        |reason: String| CliError::Node { message: format!("node at {node} returned no report: {reason}") };
    let response = exchange(node, method, path);
    match tokio::time::timeout(timeout, response).await {
        Ok(report) => report.map_err(to_error),
        Err(_) => Err(to_error(format!("no response within {timeout:?}"))),
    }
}

/// Connects to the node, sends the request and parses the response body.
async fn exchange(node: SocketAddr, method: Method, path: &str) -> std::result::Result<NodeReport, String> {
    let request = Request::builder().method(method).uri(path).header(HOST, node.to_string());
    let request = request.body(Empty::<Bytes>::new()).map_err(|error| error.to_string())?;
    let stream = TcpStream::connect(node).await.map_err(|error| error.to_string())?;
    let handshake = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(TokioIo::new(stream));
    let (mut sender, connection) = handshake.await.map_err(|error| error.to_string())?;
    tokio::spawn(connection);
    let response = sender.send_request(request).await.map_err(|error| error.to_string())?;
    let body = Limited::new(response.into_body(), MAX_REPORT_BYTES).collect().await;
    let body = body.map_err(|error| error.to_string())?;
    serde_json::from_slice(&body.to_bytes()).map_err(|error| error.to_string())
}
