//! Identity of a call, unique across the fleet and over time.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use snafu::OptionExt;
use snafu::ResultExt;
use snafu::Snafu;

/// Result of reading a call identity.
pub type Result<T, E = CallIdError> = std::result::Result<T, E>;

/// Unique identity of a call: the ingress that received it and its number there.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CallId {
    /// Name of the node that received the call from its caller.
    pub node: Arc<str>,
    /// Incarnation of that node.
    pub incarnation: u64,
    /// Sequence number of the call within the incarnation.
    pub sequence: u64,
}

/// Reason why a text is not a call identity.
#[derive(Debug, Snafu)]
pub enum CallIdError {
    /// There are fewer than three parts separated by dots.
    #[snafu(display("call identity has fewer than three parts"))]
    MissingPart,
    /// A numeric part is not hexadecimal.
    #[snafu(display("call identity holds a part that is not hexadecimal"))]
    Number {
        /// Error of the number parser.
        source: std::num::ParseIntError,
    },
}

impl fmt::Display for CallId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:x}.{:x}", self.node, self.incarnation, self.sequence)
    }
}

impl FromStr for CallId {
    type Err = CallIdError;

    fn from_str(text: &str) -> Result<Self> {
        let (rest, sequence) = text.rsplit_once('.').context(MissingPartSnafu)?;
        let (node, incarnation) = rest.rsplit_once('.').context(MissingPartSnafu)?;
        Ok(Self {
            node: Arc::from(node),
            incarnation: u64::from_str_radix(incarnation, 16).context(NumberSnafu)?,
            sequence: u64::from_str_radix(sequence, 16).context(NumberSnafu)?,
        })
    }
}

/// Generator of call identities for one incarnation of a node.
#[derive(Debug)]
pub struct CallIdGenerator {
    node: Arc<str>,
    incarnation: u64,
    next: AtomicU64,
}

impl CallIdGenerator {
    /// Creates a generator for the given node and incarnation.
    #[must_use]
    pub const fn new(node: Arc<str>, incarnation: u64) -> Self {
        Self { node, incarnation, next: AtomicU64::new(1) }
    }

    /// Returns a new identity; a generator never returns one twice.
    #[must_use]
    pub fn next(&self) -> CallId {
        CallId {
            node: Arc::clone(&self.node),
            incarnation: self.incarnation,
            sequence: self.next.fetch_add(1, Ordering::Relaxed),
        }
    }
}
