//! A relay that copies bytes: the least that any process on the path of a call costs.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use tokio::io::copy_bidirectional;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Copies bytes between each connection that comes and one of its own to `to`, until dropped.
///
/// # Errors
///
/// When no more connections can be taken.
pub async fn relay(listener: TcpListener, to: SocketAddr) -> std::io::Result<()> {
    loop {
        let (inward, _) = listener.accept().await?;
        tokio::spawn(async move {
            if let Err(error) = copy(inward, to).await {
                log::debug!("relayed connection ended; to={to} error={error}");
            }
        });
    }
}

/// Starts a relay on a free port of loopback.
///
/// # Errors
///
/// When no port can be had.
pub async fn start_relay(to: SocketAddr) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let addr = listener.local_addr()?;
    tokio::spawn(relay(listener, to));
    Ok(addr)
}

async fn copy(mut inward: TcpStream, to: SocketAddr) -> std::io::Result<()> {
    let mut outward = TcpStream::connect(to).await?;
    inward.set_nodelay(true)?;
    outward.set_nodelay(true)?;
    copy_bidirectional(&mut inward, &mut outward).await?;
    Ok(())
}
