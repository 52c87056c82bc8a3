//! Mutual TLS for connections between nodes, and the keys that authenticate their datagrams.

use std::io;
use std::path::Path;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use parking_lot::Mutex;
use rustls::ClientConfig;
use rustls::RootCertStore;
use rustls::ServerConfig;
use rustls::server::WebPkiClientVerifier;
use rustls_pki_types::CertificateDer;
use rustls_pki_types::PrivateKeyDer;
use rustls_pki_types::ServerName;
use rustls_pki_types::pem::PemObject;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio_rustls::TlsAcceptor;
use tokio_rustls::TlsConnector;
use tokio_rustls::TlsStream;
use tokio_util::sync::CancellationToken;

use crate::protocol::settings::PeerSecuritySettings;
use crate::transport::datagram_keys::DatagramKeys;

/// Result of loading keys and certificates.
pub type Result<T, E = SecurityError> = std::result::Result<T, E>;

/// Server name in every node's certificate; nodes connect by address, so they share one name.
pub const PEER_SERVER_NAME: &str = "yuccatray-peer";

/// Minimum length of a datagram key.
const MIN_KEY_BYTES: usize = 32;
/// Interval at which the files are checked for changes.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);

/// Reason why keys or certificates can't be used.
#[derive(Debug, Snafu)]
pub enum SecurityError {
    /// A file cannot be read.
    #[snafu(display("cannot read {path}"))]
    ReadFile {
        /// The file.
        path: String,
        /// The I/O error.
        source: io::Error,
    },
    /// A datagram key is shorter than the minimum length.
    #[snafu(display("{path} holds fewer than {MIN_KEY_BYTES} bytes"))]
    ShortKey {
        /// The file.
        path: String,
    },
    /// A file does not contain the expected PEM section.
    #[snafu(display("{path} does not contain the expected PEM data"))]
    Pem {
        /// The file.
        path: String,
        /// The parse error.
        source: rustls_pki_types::pem::Error,
    },
    /// The TLS library rejected a certificate or key, for instance a key that does not match its certificate.
    #[snafu(display("the certificates cannot be used"), context(false))]
    Tls {
        /// The error of the TLS library.
        source: rustls::Error,
    },
    /// The authorities' certificates can't be used to verify peers.
    #[snafu(display("the certificate authorities cannot be used"), context(false))]
    Verifier {
        /// The error of the TLS library.
        source: rustls::server::VerifierBuilderError,
    },
}

/// Contents of all key and certificate files, compared on reload to detect changes.
#[derive(Clone, PartialEq, Eq)]
struct FileContents {
    keys: Vec<Vec<u8>>,
    certificate: Vec<u8>,
    private_key: Vec<u8>,
    authority: Vec<u8>,
}

/// TLS configurations for outgoing and incoming connections.
struct TlsConfigs {
    connector: TlsConnector,
    acceptor: TlsAcceptor,
}

/// Credentials of this node and verification of its peers.
///
/// Without settings, connections are neither authenticated nor encrypted, and datagrams are not signed.
#[derive(Default)]
pub struct PeerSecurity {
    settings: Option<PeerSecuritySettings>,
    keys: DatagramKeys,
    tls: ArcSwapOption<TlsConfigs>,
    /// Files that the present configuration was built from.
    loaded: Mutex<Option<FileContents>>,
}

impl std::fmt::Debug for PeerSecurity {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PeerSecurity").field("on", &self.settings.is_some()).finish_non_exhaustive()
    }
}

impl PeerSecurity {
    /// Loads all files named in the settings.
    ///
    /// # Errors
    ///
    /// Fails if a file can't be read or used.
    pub fn load(settings: Option<&PeerSecuritySettings>) -> Result<Self> {
        let security = Self { settings: settings.cloned(), ..Self::default() };
        security.reload()?;
        Ok(security)
    }

    /// Reloads the files and returns whether any changed; on an error the previous ones stay in use.
    ///
    /// # Errors
    ///
    /// Fails if a file can't be read or used.
    pub fn reload(&self) -> Result<bool> {
        let Some(settings) = &self.settings else {
            return Ok(false);
        };
        let files = FileContents::read(settings)?;
        if self.loaded.lock().as_ref() == Some(&files) {
            return Ok(false);
        }
        let tls = files.tls(settings)?;
        self.keys.replace(files.keys.iter().cloned());
        self.tls.store(Some(Arc::new(tls)));
        *self.loaded.lock() = Some(files);
        Ok(true)
    }

    /// Reloads the files periodically until `stop` is cancelled; returns at once without settings.
    pub async fn run(self: Arc<Self>, stop: CancellationToken) {
        while self.settings.is_some() {
            tokio::select! {
                () = stop.cancelled() => return,
                () = tokio::time::sleep(RELOAD_INTERVAL) => {}
            }
            match self.reload() {
                Ok(true) => log::info!("peer keys and certificates reloaded"),
                Ok(false) => {}
                Err(error) => log::warn!(
                    "cannot reload peer keys and certificates, previous ones stay in use; error={error}"
                ),
            }
        }
    }

    /// Returns whether peers must authenticate.
    #[must_use]
    pub const fn is_enabled(&self) -> bool {
        self.settings.is_some()
    }

    /// Returns the keys that authenticate datagrams.
    #[must_use]
    pub const fn keys(&self) -> &DatagramKeys {
        &self.keys
    }

    /// Performs the TLS handshake of the connecting node, if TLS is enabled.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails or the peer can't be authenticated.
    pub async fn connect(&self, stream: TcpStream) -> io::Result<PeerStream> {
        let Some(tls) = self.tls.load_full() else {
            return Ok(PeerStream::Plain { stream });
        };
        let name = ServerName::try_from(PEER_SERVER_NAME).map_err(io::Error::other)?;
        let stream = tls.connector.connect(name, stream).await?;
        Ok(PeerStream::Tls { stream: Box::new(stream.into()) })
    }

    /// Performs the TLS handshake of the accepting node, if TLS is enabled.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails or the peer can't be authenticated.
    pub async fn accept(&self, stream: TcpStream) -> io::Result<PeerStream> {
        let Some(tls) = self.tls.load_full() else {
            return Ok(PeerStream::Plain { stream });
        };
        let stream = tls.acceptor.accept(stream).await?;
        Ok(PeerStream::Tls { stream: Box::new(stream.into()) })
    }
}

impl FileContents {
    fn read(settings: &PeerSecuritySettings) -> Result<Self> {
        let keys: Result<Vec<Vec<u8>>> =
            settings.datagram_key_files.iter().map(|path| read_key(path)).collect();
        Ok(Self {
            keys: keys?,
            certificate: read_file(&settings.certificate_file)?,
            private_key: read_file(&settings.private_key_file)?,
            authority: read_file(&settings.authority_file)?,
        })
    }

    /// Builds the TLS configurations for both directions.
    fn tls(&self, settings: &PeerSecuritySettings) -> Result<TlsConfigs> {
        let mut roots = RootCertStore::empty();
        for authority in certificates(&self.authority, &settings.authority_file)? {
            roots.add(authority)?;
        }
        let roots = Arc::new(roots);
        let chain = certificates(&self.certificate, &settings.certificate_file)?;
        let path = settings.private_key_file.as_ref();
        let key = PrivateKeyDer::from_pem_slice(&self.private_key).context(PemSnafu { path })?;
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let client = ClientConfig::builder_with_provider(Arc::clone(&provider))
            .with_safe_default_protocol_versions()?
            .with_root_certificates(Arc::clone(&roots))
            .with_client_auth_cert(chain.clone(), key.clone_key())?;
        let verifier = WebPkiClientVerifier::builder_with_provider(roots, Arc::clone(&provider)).build()?;
        let server = ServerConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()?
            .with_client_cert_verifier(verifier)
            .with_single_cert(chain, key)?;
        Ok(TlsConfigs {
            connector: TlsConnector::from(Arc::new(client)),
            acceptor: TlsAcceptor::from(Arc::new(server)),
        })
    }
}

/// Reads a datagram key, without surrounding ASCII whitespace.
fn read_key(path: &str) -> Result<Vec<u8>> {
    let key = read_file(path)?;
    let key = key.trim_ascii().to_vec();
    if key.len() < MIN_KEY_BYTES { ShortKeySnafu { path }.fail() } else { Ok(key) }
}

fn read_file(path: &str) -> Result<Vec<u8>> {
    std::fs::read(Path::new(path)).context(ReadFileSnafu { path })
}

fn certificates(pem: &[u8], path: &str) -> Result<Vec<CertificateDer<'static>>> {
    CertificateDer::pem_slice_iter(pem).collect::<Result<_, _>>().context(PemSnafu { path })
}

/// A connection between nodes, with or without TLS.
#[derive(Debug)]
pub enum PeerStream {
    /// Unauthenticated and unencrypted, since the settings name no keys.
    Plain {
        /// The connection.
        stream: TcpStream,
    },
    /// TLS with certificates on both sides.
    Tls {
        /// The connection.
        stream: Box<TlsStream<TcpStream>>,
    },
}

impl AsyncRead for PeerStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Plain { stream } => Pin::new(stream).poll_read(cx, buf),
            Self::Tls { stream } => Pin::new(stream).poll_read(cx, buf),
        }
    }
}

impl AsyncWrite for PeerStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Self::Plain { stream } => Pin::new(stream).poll_write(cx, buf),
            Self::Tls { stream } => Pin::new(stream).poll_write(cx, buf),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Plain { stream } => Pin::new(stream).poll_flush(cx),
            Self::Tls { stream } => Pin::new(stream).poll_flush(cx),
        }
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Plain { stream } => Pin::new(stream).poll_shutdown(cx),
            Self::Tls { stream } => Pin::new(stream).poll_shutdown(cx),
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Self::Plain { stream } => Pin::new(stream).poll_write_vectored(cx, bufs),
            Self::Tls { stream } => Pin::new(stream).poll_write_vectored(cx, bufs),
        }
    }

    fn is_write_vectored(&self) -> bool {
        match self {
            Self::Plain { stream } => stream.is_write_vectored(),
            Self::Tls { stream } => stream.is_write_vectored(),
        }
    }
}
