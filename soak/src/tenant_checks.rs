//! Checks of a record against the promises on keys, quotas, evacuations and cold upstreams.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use yuccatray_platform_testutils::tenant_entries::TenantLimit;

use crate::tenant_record::Arrival;
use crate::tenant_record::KeyedCall;
use crate::tenant_record::TenantRecord;

/// Length of the windows in which requests of a tenant are counted.
const QUOTA_WINDOW: Duration = Duration::from_secs(5);
/// Requests that a window may hold beyond the limit, in percent of it.
const QUOTA_OVER_PERCENT: u64 = 10;
/// Requests that a window may hold beyond that.
const QUOTA_SLACK: u64 = 20;
/// Length of the windows in which requests at a cold upstream are counted.
const COLD_WINDOW: Duration = Duration::from_secs(1);
/// Requests that a cold upstream may get, in percent of its cold rate.
const COLD_OVER_PERCENT: u64 = 150;
/// Requests that it may get beyond that.
const COLD_SLACK: u64 = 8;
/// Status of a request without a valid key.
const UNAUTHORIZED: u16 = 401;

/// Violation of a promise on keys, quotas, evacuations or cold upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TenantViolation {
    /// An upstream got a key or other credentials.
    KeyAtUpstream(Arrival),
    /// An upstream got a request with the wrong tenant or none.
    WrongTenant(Arrival),
    /// A request ran with a key that is in no version of the configuration.
    UnknownKeyAccepted(KeyedCall),
    /// A request ran with a key that had been removed for too long.
    RemovedKeyAccepted(KeyedCall),
    /// A request was refused although its key had been added for long enough.
    ValidKeyRefused(KeyedCall),
    /// Too many requests of a tenant ran in one window.
    QuotaExceeded {
        /// Name of the tenant.
        tenant: Arc<str>,
        /// Requests that were sent and ran in the window.
        count: u64,
        /// Largest permitted number.
        allowed: u64,
        /// Start of the window.
        from: Duration,
    },
    /// A request reached a zone that had been evacuated for too long.
    EvacuatedZoneReached(Arrival),
    /// An upstream got too many requests in one second while it was cold.
    ColdLimitExceeded {
        /// Index of the node beside the upstream.
        node: usize,
        /// Requests in the second.
        count: u64,
        /// Largest permitted number.
        allowed: u64,
        /// Start of the second.
        from: Duration,
    },
}

impl fmt::Display for TenantViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::KeyAtUpstream(arrival) => write!(f, "an upstream got a key: {arrival:?}"),
            Self::WrongTenant(arrival) => write!(f, "an upstream got the wrong tenant: {arrival:?}"),
            Self::UnknownKeyAccepted(call) => write!(f, "an unknown key was accepted: {call:?}"),
            Self::RemovedKeyAccepted(call) => write!(f, "a removed key was accepted: {call:?}"),
            Self::ValidKeyRefused(call) => write!(f, "a valid key was refused: {call:?}"),
            Self::QuotaExceeded { tenant, count, allowed, from } => {
                write!(f, "{count} requests of {tenant} ran in the window from {from:?}, allowed: {allowed}")
            }
            Self::EvacuatedZoneReached(arrival) => {
                write!(f, "a request reached an evacuated zone: {arrival:?}")
            }
            Self::ColdLimitExceeded { node, count, allowed, from } => write!(
                f,
                "the cold upstream of node {node} got {count} requests in the second from {from:?}, \
                 allowed: {allowed}"
            ),
        }
    }
}

/// Returns all violations in a record.
#[must_use]
pub fn tenant_violations(record: &TenantRecord) -> Vec<TenantViolation> {
    let calls = CallsById::new(record);
    let mut violations = violations_at_upstreams(record, &calls);
    violations.extend(key_violations(record, &calls));
    violations.extend(quota_violations(record, &calls));
    violations.extend(evacuation_violations(record));
    violations.extend(cold_violations(record));
    violations
}

/// Calls by their ids, each with whether it reached an upstream.
struct CallsById<'a>(IndexMap<&'a str, (&'a KeyedCall, bool)>);

impl<'a> CallsById<'a> {
    fn new(record: &'a TenantRecord) -> Self {
        let mut calls: IndexMap<_, _> =
            record.calls.iter().map(|call| (call.id.as_str(), (call, false))).collect();
        for arrival in &record.arrivals {
            if let Some((_, has_arrived)) = calls.get_mut(arrival.id.as_str()) {
                *has_arrived = true;
            }
        }
        Self(calls)
    }

    fn of(&self, arrival: &Arrival) -> Option<&'a KeyedCall> {
        self.0.get(arrival.id.as_str()).map(|(call, _)| *call)
    }
}

fn violations_at_upstreams(record: &TenantRecord, calls: &CallsById<'_>) -> Vec<TenantViolation> {
    let mut violations = Vec::new();
    for arrival in &record.arrivals {
        if arrival.has_key {
            violations.push(TenantViolation::KeyAtUpstream(arrival.clone()));
        }
        let tenant = calls.of(arrival).map(|call| &*record.keys[call.key].tenant);
        if tenant.is_some() && tenant != arrival.tenant.as_deref() {
            violations.push(TenantViolation::WrongTenant(arrival.clone()));
        }
    }
    violations
}

fn key_violations(record: &TenantRecord, calls: &CallsById<'_>) -> Vec<TenantViolation> {
    let judge = |(call, has_arrived): &(&KeyedCall, bool)| {
        let is_accepted = *has_arrived || call.status.is_some_and(|status| (200..300).contains(&status));
        judge_key(record, call, is_accepted)
    };
    calls.0.values().filter_map(judge).collect()
}

fn judge_key(record: &TenantRecord, call: &KeyedCall, is_accepted: bool) -> Option<TenantViolation> {
    let key = &record.keys[call.key];
    let bound = record.bounds.config_apply;
    let in_force = |since| record.longest_in_touch(call.node, since, call.sent_at) > bound;
    let Some(added_at) = key.added_at else {
        return is_accepted.then(|| TenantViolation::UnknownKeyAccepted(call.clone()));
    };
    let is_removed = key.removed_at.is_some_and(in_force);
    if is_accepted && is_removed {
        return Some(TenantViolation::RemovedKeyAccepted(call.clone()));
    }
    let is_refused = call.status == Some(UNAUTHORIZED);
    (is_refused && key.removed_at.is_none() && in_force(added_at))
        .then(|| TenantViolation::ValidKeyRefused(call.clone()))
}

/// Returns the window with the most requests that were both sent and run in it, if it has too many.
fn quota_violations(record: &TenantRecord, calls: &CallsById<'_>) -> Vec<TenantViolation> {
    let worst_window = |(tenant, limit): &(Arc<str>, TenantLimit)| {
        let is_of_tenant = |call: &&KeyedCall| record.keys[call.key].tenant == *tenant;
        let run = |arrival| calls.of(arrival).filter(is_of_tenant).map(|call| (call.sent_at, arrival.at));
        let runs: Vec<(Duration, Duration)> = record.arrivals.iter().filter_map(run).collect();
        let (count, from) = fullest_window(&runs, QUOTA_WINDOW);
        let limit = u64::from(limit.rate_per_s) * QUOTA_WINDOW.as_secs() + u64::from(limit.burst);
        let allowed = limit * (100 + QUOTA_OVER_PERCENT) / 100 + QUOTA_SLACK;
        let tenant = Arc::clone(tenant);
        (count > allowed).then_some(TenantViolation::QuotaExceeded { tenant, count, allowed, from })
    };
    record.limits.iter().filter_map(worst_window).collect()
}

fn evacuation_violations(record: &TenantRecord) -> Vec<TenantViolation> {
    let is_violated = |arrival: &&Arrival| {
        record.evacuations.iter().any(|evacuation| {
            let in_touch = record.longest_in_touch(arrival.node, evacuation.written_at, arrival.at);
            record.zones[arrival.node] == evacuation.zone
                && arrival.at < evacuation.deleted_at
                && in_touch > record.bounds.evacuation
        })
    };
    let violating = record.arrivals.iter().filter(is_violated);
    violating.map(|arrival| TenantViolation::EvacuatedZoneReached(arrival.clone())).collect()
}

fn cold_violations(record: &TenantRecord) -> Vec<TenantViolation> {
    let allowed = u64::from(record.bounds.cold_per_s) * COLD_OVER_PERCENT / 100 + COLD_SLACK;
    let worst_second = |node| {
        let is_cold = |arrival: &&Arrival| arrival.node == node && arrival.while_cold;
        let cold = record.arrivals.iter().filter(is_cold);
        let times: Vec<(Duration, Duration)> = cold.map(|arrival| (arrival.at, arrival.at)).collect();
        let (count, from) = fullest_window(&times, COLD_WINDOW);
        (count > allowed).then_some(TenantViolation::ColdLimitExceeded { node, count, allowed, from })
    };
    (0..record.zones.len()).filter_map(worst_second).collect()
}

/// Returns the largest number of periods that lie in one window, and where it begins.
fn fullest_window(periods: &[(Duration, Duration)], window: Duration) -> (u64, Duration) {
    let count_from = |from: Duration| {
        let lies_within = |(start, end): &&(Duration, Duration)| *start >= from && *end < from + window;
        periods.iter().filter(lies_within).count() as u64
    };
    // A window can be moved to the start of its first period without losing any.
    let counts = periods.iter().map(|(start, _)| (count_from(*start), *start));
    counts.max_by_key(|(count, _)| *count).unwrap_or_default()
}
