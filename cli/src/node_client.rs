//! What a node answers operators at its admin address.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::header::HOST;
use http_body_util::BodyExt;
use http_body_util::Empty;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use yuccatray::transport::admin_server::NodeReport;

use crate::cli_error::CliError;
use crate::cli_error::Result;

/// Sends a request to a node and reads the report that it answers with.
pub async fn node_report(
    node: SocketAddr,
    method: Method,
    path: &str,
    timeout: Duration,
) -> Result<NodeReport> {
    let failed =
        |reason: String| CliError::Node { message: format!("node at {node} gave no report: {reason}") };
    let exchange = exchange(node, method, path);
    match tokio::time::timeout(timeout, exchange).await {
        Ok(report) => report.map_err(failed),
        Err(_) => Err(failed(format!("nothing within {timeout:?}"))),
    }
}

async fn exchange(node: SocketAddr, method: Method, path: &str) -> std::result::Result<NodeReport, String> {
    let request = Request::builder().method(method).uri(path).header(HOST, node.to_string());
    let request = request.body(Empty::<Bytes>::new()).map_err(|error| error.to_string())?;
    let stream = TcpStream::connect(node).await.map_err(|error| error.to_string())?;
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|error| error.to_string())?;
    tokio::spawn(connection);
    let response = sender.send_request(request).await.map_err(|error| error.to_string())?;
    let body = response.into_body().collect().await.map_err(|error| error.to_string())?;
    serde_json::from_slice(&body.to_bytes()).map_err(|error| error.to_string())
}
