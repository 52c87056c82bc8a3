//! TCP relay that copies bytes, as a baseline for the minimum overhead of a process on the path of a call.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use tokio::io::copy_bidirectional;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Forwards each accepted connection over a connection of its own to `target_addr`, until dropped.
///
/// # Errors
///
/// When accepting a connection fails.
pub async fn run_relay(listener: TcpListener, target_addr: SocketAddr) -> std::io::Result<()> {
    loop {
        let (inbound, _) = listener.accept().await?;
        tokio::spawn(async move {
            if let Err(error) = relay_connection(inbound, target_addr).await {
                log::debug!("relayed connection failed; to={target_addr} error={error}");
            }
        });
    }
}

/// Starts a relay on a free loopback port and returns its address.
///
/// # Errors
///
/// When no port is free.
pub async fn start_relay(target_addr: SocketAddr) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let addr = listener.local_addr()?;
    tokio::spawn(run_relay(listener, target_addr));
    Ok(addr)
}

/// Copies bytes in both directions until both sides have closed.
async fn relay_connection(mut inbound: TcpStream, target_addr: SocketAddr) -> std::io::Result<()> {
    let mut outbound = TcpStream::connect(target_addr).await?;
    inbound.set_nodelay(true)?;
    outbound.set_nodelay(true)?;
    copy_bidirectional(&mut inbound, &mut outbound).await?;
    Ok(())
}
