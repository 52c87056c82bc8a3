//! Parameters of a call, read from the header section of its request.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::Method;
use http::Uri;
use http::header::EXPECT;
use http::header::UPGRADE;
use tokio::time::Instant;

use crate::protocol::answer::ErrorAnswer;
use crate::protocol::error_kind::ErrorKind;
use crate::protocol::headers;
use crate::protocol::published::PublishedConfig;

/// Result of reading a header section.
pub type Result<T, E = ErrorAnswer> = std::result::Result<T, E>;

/// Who makes a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOrigin {
    /// A caller.
    Caller,
    /// An upstream while it executes another call, which fails with this one.
    Upstream,
}

/// Parameters of a call, with the service's defaults for those that the request does not set.
#[derive(Clone, Debug)]
pub struct CallHead {
    /// Name of the called service.
    pub service: Arc<str>,
    /// Index of the priority in the service's set; 0 is the most urgent.
    pub priority: u8,
    /// Time until the deadline of the call.
    pub timeout: Duration,
    /// Whether the call may be executed more than once.
    pub idempotent: bool,
    /// Name of the caller, if the request gives one.
    pub caller: Option<Arc<str>>,
    /// Whether the call is a retry or hedged request, or is made on behalf of one.
    pub repeated: bool,
}

/// Parameters that calls made on behalf of a running call inherit from it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParentCall {
    /// Name of the parent's priority.
    pub priority_name: Arc<str>,
    /// Index of the parent's priority in its service's set; 0 is the most urgent.
    pub priority: u8,
    /// Deadline of the parent call.
    pub deadline: Instant,
    /// Whether the parent is a retry or hedged request, or is made on behalf of one.
    pub repeated: bool,
}

/// Returns the name of the service that a request is for.
///
/// # Errors
///
/// When the field is missing or unreadable, or the request asks for an upgrade or for an expectation
/// other than `100-continue`.
pub fn service_name(fields: &HeaderMap, method: &Method) -> Result<Arc<str>> {
    if method == Method::CONNECT || fields.contains_key(UPGRADE) {
        return Err(ErrorAnswer::new(ErrorKind::UpgradeRefused, "upgrades and CONNECT are not forwarded"));
    }
    if let Some(expect) = single_text(fields, &EXPECT)?
        && !expect.eq_ignore_ascii_case("100-continue")
    {
        return Err(malformed("the only expectation served is 100-continue"));
    }
    let name = single_text(fields, &headers::SERVICE)?;
    name.map(Arc::from).ok_or_else(|| malformed("the field yuccatray-service is missing"))
}

impl CallHead {
    /// Reads the header section of a request to a known service.
    ///
    /// # Errors
    ///
    /// When a field is unreadable, the priority is unknown to the service, or the timeout is zero.
    pub fn read(
        service: Arc<str>,
        fields: &HeaderMap,
        method: &Method,
        config: &PublishedConfig,
    ) -> Result<Self> {
        Ok(Self {
            service,
            priority: read_priority(fields, config)?,
            timeout: read_timeout(fields, config)?,
            idempotent: read_idempotent(fields, method, config)?,
            caller: single_text(fields, &headers::CALLER)?.map(Arc::from),
            repeated: single_text(fields, &headers::REPEAT)? == Some("true"),
        })
    }

    /// Limits a call made on behalf of another one to the parent's priority and deadline.
    ///
    /// The parent's priority is looked up by name, since the two services may have different sets. When this
    /// service's set lacks the name, the index is compared instead.
    ///
    /// # Errors
    ///
    /// When the parent's deadline has passed.
    pub fn limit_to_parent(
        &mut self,
        parent: &ParentCall,
        config: &PublishedConfig,
        now: Instant,
    ) -> Result<()> {
        let priorities = &config.priorities.priorities;
        let least_urgent = u8::try_from(priorities.len().saturating_sub(1)).unwrap_or(u8::MAX);
        let same_name =
            priorities.get_index_of(&parent.priority_name).and_then(|index| u8::try_from(index).ok());
        self.priority = self.priority.max(same_name.unwrap_or(parent.priority)).min(least_urgent);
        self.timeout = self.timeout.min(parent.deadline.saturating_duration_since(now));
        self.repeated |= parent.repeated;
        if self.timeout.is_zero() {
            return Err(ErrorAnswer::new(
                ErrorKind::DeadlineBeforeStart,
                "the calling call has no time left",
            ));
        }
        Ok(())
    }
}

fn read_priority(fields: &HeaderMap, config: &PublishedConfig) -> Result<u8> {
    let name = single_text(fields, &headers::PRIORITY)?.unwrap_or(&config.service.default_priority);
    let index = config.priorities.priorities.get_index_of(name);
    index.and_then(|index| u8::try_from(index).ok()).ok_or_else(|| {
        let known: Vec<&str> = config.priorities.priorities.keys().map(AsRef::as_ref).collect();
        ErrorAnswer::new(
            ErrorKind::UnknownPriority,
            format!("no priority {name:?} here; the service has {}", known.join(", ")),
        )
    })
}

fn read_timeout(fields: &HeaderMap, config: &PublishedConfig) -> Result<Duration> {
    let millis = match single_text(fields, &headers::TIMEOUT_MS)? {
        None => config.service.default_timeout_ms,
        Some(value) => {
            value.parse().map_err(|_not_a_number| malformed("yuccatray-timeout-ms is not a whole number"))?
        }
    };
    if millis == 0 {
        return Err(ErrorAnswer::new(ErrorKind::DeadlineBeforeStart, "the call came with no time left"));
    }
    Ok(Duration::from_millis(millis))
}

fn read_idempotent(fields: &HeaderMap, method: &Method, config: &PublishedConfig) -> Result<bool> {
    match single_text(fields, &headers::IDEMPOTENT)? {
        Some("true") => Ok(true),
        Some("false") => Ok(false),
        Some(_) => Err(malformed("yuccatray-idempotent is neither true nor false")),
        None => Ok(config.service.idempotent_methods.iter().any(|name| name.as_ref() == method.as_str())),
    }
}

/// Returns the text of a header field that may occur at most once.
fn single_text<'a>(fields: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>> {
    let mut values = fields.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(malformed(&format!("the field {name} stands twice")));
    }
    value.to_str().map(Some).map_err(|_not_text| malformed(&format!("the field {name} is not readable text")))
}

fn malformed(message: &str) -> ErrorAnswer {
    ErrorAnswer::new(ErrorKind::MalformedRequest, message)
}

/// Returns the target of a request in origin form (path and query only), as an upstream expects it.
#[must_use]
pub fn origin_form(uri: &Uri) -> Uri {
    uri.path_and_query().map_or_else(|| Uri::from_static("/"), |target| Uri::from(target.clone()))
}
