//! The first words on a connection between nodes.
//!
//! Addresses are used again: whoever holds a former peer's address now, an upstream for
//! instance, must get no more than a greeting, and takes it for no request.

use std::io;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

use crate::transport::peer_security::PeerStream;

const GREETING: [u8; 18] = *b"yuccatray peer 1\r\n";

/// Greets the other side and waits until it has proved to be a node.
///
/// # Errors
///
/// When the connection fails or the other side is no node of this version.
pub async fn greet(stream: &mut PeerStream) -> io::Result<()> {
    stream.write_all(&GREETING).await?;
    stream.flush().await?;
    expect_greeting(stream).await
}

/// Waits for the greeting of a node and returns it.
///
/// # Errors
///
/// When the connection fails or the other side is no node of this version.
pub async fn answer(stream: &mut PeerStream) -> io::Result<()> {
    expect_greeting(stream).await?;
    stream.write_all(&GREETING).await?;
    stream.flush().await
}

async fn expect_greeting(stream: &mut PeerStream) -> io::Result<()> {
    let mut heard = [0; GREETING.len()];
    stream.read_exact(&mut heard).await?;
    if heard == GREETING {
        return Ok(());
    }
    Err(io::Error::new(io::ErrorKind::InvalidData, "the other side is no node of this version"))
}
