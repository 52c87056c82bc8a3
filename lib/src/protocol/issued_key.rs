//! Idempotency keys that the system issues and that name where their call may run.
//!
//! A ticket names one life of one gate and the one identity that its call has there,
//! however often and through whichever node it is sent.

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

/// Result of reading a ticket.
pub type Result<T, E = TicketError> = std::result::Result<T, E>;

/// Start of every ticket; other idempotency keys are between the caller and its upstream.
const PREFIX: &str = "yuccatray-1.";

/// Where a call may run, and as which.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct IssuedKey {
    /// The only life of the only gate that may run the call.
    pub gate: MemberId,
    /// Identity of the call there.
    pub call: CallId,
}

/// Why a text that starts like a ticket is none.
#[derive(Debug, Snafu)]
pub enum TicketError {
    /// It does not start like a ticket.
    #[snafu(display("no ticket of this version"))]
    Prefix,
    /// A part between the dots is missing.
    #[snafu(display("the ticket has too few parts"))]
    MissingPart,
    /// The incarnation of the gate is not hexadecimal.
    #[snafu(display("the ticket names no gate"))]
    Gate {
        /// The fault in the number.
        source: std::num::ParseIntError,
    },
    /// The identity of the call is unreadable.
    #[snafu(display("the ticket names no call: {source}"))]
    Call {
        /// What is wrong with it.
        source: CallIdError,
    },
}

impl IssuedKey {
    /// The ticket that a request carries as its idempotency key, if it carries one.
    ///
    /// # Errors
    ///
    /// When the key starts like a ticket and is none.
    pub fn of_request(fields: &HeaderMap) -> Result<Option<Self>, ErrorAnswer> {
        let Some(text) = key(fields).filter(|text| text.starts_with(PREFIX)) else {
            return Ok(None);
        };
        text.parse().map(Some).map_err(|error: TicketError| {
            ErrorAnswer::new(ErrorKind::MalformedRequest, format!("idempotency-key: {error}"))
        })
    }

    /// Whether a request carries a ticket, readable or not.
    #[must_use]
    pub fn is_in(fields: &HeaderMap) -> bool {
        key(fields).is_some_and(|text| text.starts_with(PREFIX))
    }
}

fn key(fields: &HeaderMap) -> Option<&str> {
    fields.get(headers::IDEMPOTENCY_KEY).and_then(|value| value.to_str().ok())
}

impl fmt::Display for IssuedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{PREFIX}{}.{:x}.{}", self.gate.name, self.gate.incarnation, self.call)
    }
}

impl FromStr for IssuedKey {
    type Err = TicketError;

    fn from_str(text: &str) -> Result<Self> {
        let rest = text.strip_prefix(PREFIX).context(PrefixSnafu)?;
        let (name, rest) = rest.split_once('.').context(MissingPartSnafu)?;
        let (incarnation, call) = rest.split_once('.').context(MissingPartSnafu)?;
        let incarnation = u64::from_str_radix(incarnation, 16).context(GateSnafu)?;
        let gate = MemberId { name: Arc::from(name), incarnation };
        Ok(Self { gate, call: call.parse().context(CallSnafu)? })
    }
}
