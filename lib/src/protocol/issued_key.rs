//! Idempotency keys that a node issues, each bound to the gate that may execute the call.
//!
//! An issued key names one incarnation of one gate and the identity that the call has there, however often
//! and through whichever node the call is sent.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use http::HeaderMap;
use snafu::OptionExt;
use snafu::ResultExt;
use snafu::Snafu;

use crate::protocol::answer::ErrorAnswer;
use crate::protocol::call_id::CallId;
use crate::protocol::call_id::CallIdError;
use crate::protocol::error_kind::ErrorKind;
use crate::protocol::headers;
use crate::protocol::member::MemberId;

/// Result of parsing an issued key.
pub type Result<T, E = IssuedKeyError> = std::result::Result<T, E>;

/// Prefix of every issued key; any other idempotency key is only for the upstream.
const PREFIX: &str = "yuccatray-1.";

/// Issued idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct IssuedKey {
    /// Only incarnation of the only gate that may execute the call.
    pub gate: MemberId,
    /// Identity of the call at that gate.
    pub call: CallId,
}

/// Reason why a text is not an issued key.
#[derive(Debug, Snafu)]
pub enum IssuedKeyError {
    /// The text does not start with the prefix of issued keys.
    #[snafu(display("no ticket of this version"))]
    Prefix,
    /// A part between the dots is missing.
    #[snafu(display("the ticket has too few parts"))]
    MissingPart,
    /// The incarnation of the gate is not hexadecimal.
    #[snafu(display("the ticket names no gate"))]
    Gate {
        /// Error of the number parser.
        source: std::num::ParseIntError,
    },
    /// The identity of the call is invalid.
    #[snafu(display("the ticket names no call: {source}"))]
    Call {
        /// Error of the parser for call identities.
        source: CallIdError,
    },
}

impl IssuedKey {
    /// Returns the issued key that a request carries as its idempotency key, if any.
    ///
    /// # Errors
    ///
    /// When the idempotency key has the prefix of issued keys but is not a valid one.
    pub fn from_request(fields: &HeaderMap) -> Result<Option<Self>, ErrorAnswer> {
        let Some(text) = idempotency_key(fields).filter(|text| text.starts_with(PREFIX)) else {
            return Ok(None);
        };
        text.parse().map(Some).map_err(|error: IssuedKeyError| {
            ErrorAnswer::new(ErrorKind::MalformedRequest, format!("idempotency-key: {error}"))
        })
    }

    /// Returns whether a request carries the key that was issued for this call at this gate.
    ///
    /// A key for another call proves nothing of this one: callers may send any text as a key.
    #[must_use]
    pub fn is_issued_for(fields: &HeaderMap, gate: &MemberId, call: &CallId) -> bool {
        let key = Self::from_request(fields).ok().flatten();
        key.is_some_and(|key| key.gate == *gate && key.call == *call)
    }
}

fn idempotency_key(fields: &HeaderMap) -> Option<&str> {
    fields.get(headers::IDEMPOTENCY_KEY).and_then(|value| value.to_str().ok())
}

impl fmt::Display for IssuedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{PREFIX}{}.{:x}.{}", self.gate.name, self.gate.incarnation, self.call)
    }
}

impl FromStr for IssuedKey {
    type Err = IssuedKeyError;

    fn from_str(text: &str) -> Result<Self> {
        let rest = text.strip_prefix(PREFIX).context(PrefixSnafu)?;
        let (name, rest) = rest.split_once('.').context(MissingPartSnafu)?;
        let (incarnation, call) = rest.split_once('.').context(MissingPartSnafu)?;
        let incarnation = u64::from_str_radix(incarnation, 16).context(GateSnafu)?;
        let gate = MemberId { name: Arc::from(name), incarnation };
        Ok(Self { gate, call: call.parse().context(CallSnafu)? })
    }
}
