//! Handshake that opens every connection between nodes, before any HTTP/2 bytes.
//!
//! A former peer's address may since have been reassigned, for instance to an upstream. Such a process must
//! receive nothing but these bytes, and they are not a valid HTTP request.

use std::io;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

use crate::transport::peer_security::PeerStream;

/// Bytes that each side sends: protocol name and version.
const HANDSHAKE: [u8; 18] = *b"yuccatray peer 1\r\n";

/// Performs the handshake of the connecting node: sends the handshake bytes, then expects the same bytes.
///
/// # Errors
///
/// Fails if the connection fails or the remote end is not a node of this protocol version.
pub async fn initiate_handshake(stream: &mut PeerStream) -> io::Result<()> {
    stream.write_all(&HANDSHAKE).await?;
    stream.flush().await?;
    read_handshake(stream).await
}

/// Performs the handshake of the accepting node: expects the handshake bytes, then sends the same bytes.
///
/// # Errors
///
/// Fails if the connection fails or the remote end is not a node of this protocol version.
pub async fn accept_handshake(stream: &mut PeerStream) -> io::Result<()> {
    read_handshake(stream).await?;
    stream.write_all(&HANDSHAKE).await?;
    stream.flush().await
}

async fn read_handshake(stream: &mut PeerStream) -> io::Result<()> {
    let mut received = [0; HANDSHAKE.len()];
    stream.read_exact(&mut received).await?;
    if received == HANDSHAKE {
        return Ok(());
    }
    Err(io::Error::new(io::ErrorKind::InvalidData, "the remote end is not a node of this protocol version"))
}
