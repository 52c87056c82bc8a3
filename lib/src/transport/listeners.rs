//! The sockets that a node listens on.

use std::net::SocketAddr;
use std::sync::Arc;

use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;

use crate::protocol::settings::Settings;

/// Result of listening.
pub type Result<T, E = ListenError> = std::result::Result<T, E>;

/// Attempts to find one port that is free for both streams and datagrams.
const PORT_ATTEMPTS: u32 = 16;

/// An address of the settings can't be listened on.
#[derive(Debug, Snafu)]
#[snafu(display("cannot listen on {addr} for {purpose}"))]
pub struct ListenError {
    addr: SocketAddr,
    purpose: &'static str,
    source: std::io::Error,
}

/// Where a node listens once it has started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeAddrs {
    /// For callers.
    pub ingress: SocketAddr,
    /// For the other nodes.
    pub peer: SocketAddr,
    /// For the node's own upstream.
    pub announce: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
}

/// Every socket of one node.
#[derive(Debug)]
pub(crate) struct Listeners {
    pub(crate) ingress: TcpListener,
    pub(crate) peer: TcpListener,
    pub(crate) gossip: Arc<UdpSocket>,
    pub(crate) announce: TcpListener,
    pub(crate) admin: TcpListener,
}

impl Listeners {
    pub(crate) async fn bind(settings: &Settings) -> Result<Self> {
        let listen = &settings.listen;
        let (peer, gossip) = bind_peer(listen.peer_addr).await?;
        Ok(Self {
            ingress: bind(listen.ingress_addr, "/listen/ingress_addr").await?,
            peer,
            gossip: Arc::new(gossip),
            announce: bind(listen.announce_addr, "/listen/announce_addr").await?,
            admin: bind(listen.admin_addr, "/listen/admin_addr").await?,
        })
    }

    pub(crate) fn addrs(&self) -> Result<NodeAddrs> {
        Ok(NodeAddrs {
            ingress: local_addr(&self.ingress)?,
            peer: local_addr(&self.peer)?,
            announce: local_addr(&self.announce)?,
            admin: local_addr(&self.admin)?,
        })
    }
}

async fn bind(addr: SocketAddr, purpose: &'static str) -> Result<TcpListener> {
    TcpListener::bind(addr).await.context(ListenSnafu { addr, purpose })
}

/// Streams and datagrams of peers share one port, so that members need to name only one.
async fn bind_peer(addr: SocketAddr) -> Result<(TcpListener, UdpSocket)> {
    let purpose = "/listen/peer_addr";
    let mut attempt = 1;
    loop {
        let listener = bind(addr, purpose).await?;
        let shared = local_addr(&listener)?;
        match UdpSocket::bind(shared).await {
            Ok(socket) => return Ok((listener, socket)),
            Err(_) if addr.port() == 0 && attempt < PORT_ATTEMPTS => attempt += 1,
            Err(source) => return Err(ListenError { addr: shared, purpose, source }),
        }
    }
}

fn local_addr(listener: &TcpListener) -> Result<SocketAddr> {
    let unknown = SocketAddr::from(([0, 0, 0, 0], 0));
    listener.local_addr().context(ListenSnafu { addr: unknown, purpose: "the address in use" })
}
