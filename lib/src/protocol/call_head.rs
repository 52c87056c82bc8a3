//! What the header section of a request says about the call.

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

/// A call's own wishes after the service's defaults were filled in.
#[derive(Clone, Debug)]
pub struct CallHead {
    /// The service called.
    pub service: Arc<str>,
    /// Position of the priority in the service's set, 0 the most urgent.
    pub priority: u8,
    /// Time that the call has.
    pub timeout: Duration,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Name of the caller, when it gave one.
    pub caller: Option<Arc<str>>,
    /// Whether it is made on behalf of a retry or a second copy.
    pub repeated: bool,
}

/// What a running call hands down to the calls made on its behalf.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParentCall {
    /// Name of its priority.
    pub priority_name: Arc<str>,
    /// Position of its priority, 0 the most urgent.
    pub priority: u8,
    /// When it is of no more use.
    pub deadline: Instant,
    /// Whether it is a retry or a second copy, or runs on behalf of one.
    pub repeated: bool,
}

/// The service that a request names.
///
/// # Errors
///
/// When the field is missing, unreadable, or the request asks for an upgrade.
pub fn service_name(fields: &HeaderMap, method: &Method) -> Result<Arc<str>> {
    if method == Method::CONNECT || fields.contains_key(UPGRADE) {
        return Err(ErrorAnswer::new(ErrorKind::UpgradeRefused, "upgrades and CONNECT are not forwarded"));
    }
    if let Some(expect) = text(fields, &EXPECT)?
        && !expect.eq_ignore_ascii_case("100-continue")
    {
        return Err(malformed("the only expectation served is 100-continue"));
    }
    let name = text(fields, &headers::SERVICE)?;
    name.map(Arc::from).ok_or_else(|| malformed("the field yuccatray-service is missing"))
}

impl CallHead {
    /// Reads the header section of a request to a known service.
    ///
    /// # Errors
    ///
    /// When a field is unreadable or names a priority that the service lacks.
    pub fn read(
        service: Arc<str>,
        fields: &HeaderMap,
        method: &Method,
        config: &PublishedConfig,
    ) -> Result<Self> {
        Ok(Self {
            service,
            priority: priority(fields, config)?,
            timeout: timeout(fields, config)?,
            idempotent: idempotent(fields, method, config)?,
            caller: text(fields, &headers::CALLER)?.map(Arc::from),
            repeated: text(fields, &headers::REPEAT)? == Some("true"),
        })
    }

    /// Bounds a call made on behalf of another: no more urgent, and not later.
    ///
    /// # Errors
    ///
    /// When the other call has no time left.
    pub fn bound_by(&mut self, parent: &ParentCall, config: &PublishedConfig, now: Instant) -> Result<()> {
        let names = &config.priorities.priorities;
        let last = u8::try_from(names.len().saturating_sub(1)).unwrap_or(u8::MAX);
        let same_name = names.get_index_of(&parent.priority_name).and_then(|index| u8::try_from(index).ok());
        self.priority = self.priority.max(same_name.unwrap_or(parent.priority)).min(last);
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

fn priority(fields: &HeaderMap, config: &PublishedConfig) -> Result<u8> {
    let name = text(fields, &headers::PRIORITY)?.unwrap_or(&config.service.default_priority);
    let index = config.priorities.priorities.get_index_of(name);
    index.and_then(|index| u8::try_from(index).ok()).ok_or_else(|| {
        let known: Vec<&str> = config.priorities.priorities.keys().map(AsRef::as_ref).collect();
        ErrorAnswer::new(
            ErrorKind::UnknownPriority,
            format!("no priority {name:?} here; the service has {}", known.join(", ")),
        )
    })
}

fn timeout(fields: &HeaderMap, config: &PublishedConfig) -> Result<Duration> {
    let millis = match text(fields, &headers::TIMEOUT_MS)? {
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

fn idempotent(fields: &HeaderMap, method: &Method, config: &PublishedConfig) -> Result<bool> {
    match text(fields, &headers::IDEMPOTENT)? {
        Some("true") => Ok(true),
        Some("false") => Ok(false),
        Some(_) => Err(malformed("yuccatray-idempotent is neither true nor false")),
        None => Ok(config.service.idempotent_methods.iter().any(|name| name.as_ref() == method.as_str())),
    }
}

fn text<'a>(fields: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>> {
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

/// The target of a request as its upstream should see it: path and query only.
#[must_use]
pub fn origin_form(uri: &Uri) -> Uri {
    uri.path_and_query().map_or_else(|| Uri::from_static("/"), |target| Uri::from(target.clone()))
}
