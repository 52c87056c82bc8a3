//! API keys in the header sections of requests.

use std::fmt;

use http::HeaderMap;
use http::HeaderValue;

use crate::protocol::external_fields::CallerFields;
use crate::protocol::tenant::MAX_KEY_BYTES;

/// Credentials of a request. The key appears in no `Debug` output.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Credentials<'a> {
    /// The request has none.
    Absent,
    /// The request has several, of which none is used.
    Repeated,
    /// The request has some that hold no key, or one that is too long.
    Unreadable,
    /// The request has a key.
    Key(&'a str),
}

impl fmt::Debug for Credentials<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Absent => "Absent",
            Self::Repeated => "Repeated",
            Self::Unreadable => "Unreadable",
            Self::Key(_) => "Key(redacted)",
        })
    }
}

impl CallerFields {
    /// Reads the credentials of a request.
    #[must_use]
    pub fn read_credentials<'a>(&self, fields: &'a HeaderMap) -> Credentials<'a> {
        let mut values = fields.get_all(&self.credentials).iter();
        let Some(value) = values.next() else {
            return Credentials::Absent;
        };
        if values.next().is_some() {
            return Credentials::Repeated;
        }
        self.read_key(value).map_or(Credentials::Unreadable, Credentials::Key)
    }

    fn read_key<'a>(&self, value: &'a HeaderValue) -> Option<&'a str> {
        let text = std::str::from_utf8(value.as_bytes()).ok()?;
        let key = (self.api_key)(text)?;
        (1..=MAX_KEY_BYTES).contains(&key.len()).then_some(key)
    }
}
