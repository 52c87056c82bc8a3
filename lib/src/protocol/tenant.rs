//! Tenants: callers that identify themselves by API keys, with their priority and request limit.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::de::Error;
use serde::de::IgnoredAny;

/// Largest length of an API key that is accepted, in bytes.
pub const MAX_KEY_BYTES: usize = 4_096;

/// API key of a tenant. Its text appears in no `Debug` output and in no error of deserialization.
#[derive(Clone, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct ApiKey(Arc<str>);

/// Rate at which a tenant may send requests, over all nodes together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantRate {
    /// Rate in thousandths of a request per second; more than 0.
    pub millirequests_per_s: u64,
    /// Requests that the tenant may send beyond the rate after a time without requests.
    pub burst: u64,
}

/// Tenant as declared in the configuration of the routes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantSpec {
    /// Name of the tenant, unique in its configuration; the value of a header field towards upstreams.
    pub name: Arc<str>,
    /// Keys by which requests of the tenant are recognized.
    pub api_keys: Vec<ApiKey>,
    /// Priority of the tenant's requests, in place of that of their route; 0 is the most urgent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<u8>,
    /// Limit of the tenant's requests; none when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<TenantRate>,
}

impl ApiKey {
    /// Creates a key from its text.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(Arc::from(text))
    }

    /// Returns the bytes of the key's text.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(redacted)")
    }
}

/// JSON value of which only a text is kept.
#[derive(Deserialize)]
#[serde(untagged)]
enum TextOrOther {
    Text(Arc<str>),
    Other(IgnoredAny),
}

impl<'de> Deserialize<'de> for ApiKey {
    /// Reads a text. The error about another value does not quote it, as a derived one would.
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        match TextOrOther::deserialize(deserializer)? {
            TextOrOther::Text(text) => Ok(Self(text)),
            TextOrOther::Other(_) => Err(D::Error::custom("an API key is not a text")),
        }
    }
}
