//! Time limits of a node that follow from the bounds of its deployment.

use std::time::Duration;

use crate::coordination::authentication::KeyRules;
use crate::coordination::quota::allowance::QuotaAllowance;
use crate::protocol::deployment_bounds::DeploymentBounds;
use crate::protocol::settings::LimitSettings;
use crate::protocol::settings::PlatformSettings;
use crate::protocol::settings::Settings;
use crate::transport::evacuation_watcher::max_evacuation_wait_ms;
use crate::transport::routes_watcher::max_confirmation_interval;
use crate::transport::routes_watcher::max_watch_wait_ms;

/// Part of the grace period that a stop leaves for the process to end, as a divisor.
const END_RESERVE_DIVISOR: u64 = 10;

/// Smallest time that a stop leaves for the process to end, in milliseconds: the sum of the waits after its limit.
const MIN_END_RESERVE_MS: u64 = 600;

/// Largest part of the grace period that a stop leaves unused, as a divisor.
const MAX_END_RESERVE_DIVISOR: u64 = 6;

/// Largest part of a stop in which the node only reports that it is not ready, as a divisor.
const MAX_NOTICE_DIVISOR: u64 = 2;

/// Age of the confirmation from which no key is accepted, where the bounds only say that there is such an age.
const DEFAULT_REVOKE_MS: u64 = 5_000;

/// Sets the time limits of `settings` that follow from the bounds of the deployment.
///
/// A limit whose bound is not set stays as it is.
pub fn apply_bounds(settings: &mut Settings, bounds: &DeploymentBounds) {
    if let Some(stop_grace_ms) = bounds.stop_grace_ms {
        limit_stop(&mut settings.limits, stop_grace_ms);
    }
    if let Some(config_apply_ms) = bounds.config_apply_ms {
        limit_watch_wait(&mut settings.platform, config_apply_ms);
    }
    if let Some(evacuation_ms) = bounds.evacuation_ms {
        // A node that others fail reads the evacuations only once its last confirmation is too old.
        limit_watch_wait(&mut settings.platform, evacuation_ms);
        settings.platform.evacuation_wait_ms = Some(max_evacuation_wait_ms(evacuation_ms));
    }
}

/// Returns how long confirmations of the configuration count when requests are authenticated.
///
/// Without a bound, a confirmation counts for the time between two confirmations of a node that reads the platform
/// itself.
#[must_use]
pub(super) fn key_rules(settings: &PlatformSettings, bounds: &DeploymentBounds) -> KeyRules {
    let revoke_ms = bounds.revoke_ms.unwrap_or(DEFAULT_REVOKE_MS);
    let is_fail_closed = bounds.fail_closed.unwrap_or(false);
    KeyRules {
        max_refusal_age: bounds
            .config_apply_ms
            .map_or_else(|| max_confirmation_interval(settings), Duration::from_millis),
        revoke_after: is_fail_closed.then(|| Duration::from_millis(revoke_ms)),
    }
}

/// Returns what the deployment allows beyond the limits of tenants, if the bounds say all of it.
#[must_use]
pub(super) fn quota_allowance(bounds: &DeploymentBounds) -> Option<QuotaAllowance> {
    Some(QuotaAllowance {
        window: Duration::from_millis(bounds.quota_window_ms?),
        over: f64::from(bounds.quota_over_millionths?) / 1e6,
        slack: f64::from(bounds.quota_slack?),
    })
}

/// Lets a stop use the whole grace period but for the time that the process needs to end.
///
/// The time in which the node only reports that it is not ready gets shorter in a short stop, never longer.
fn limit_stop(limits: &mut LimitSettings, stop_grace_ms: u64) {
    let min_reserve_ms = MIN_END_RESERVE_MS.min(stop_grace_ms / MAX_END_RESERVE_DIVISOR);
    let reserve_ms = (stop_grace_ms / END_RESERVE_DIVISOR).max(min_reserve_ms);
    limits.shutdown_timeout_ms = stop_grace_ms - reserve_ms;
    let max_notice_ms = limits.shutdown_timeout_ms / MAX_NOTICE_DIVISOR;
    limits.unready_notice_ms = limits.unready_notice_ms.min(max_notice_ms);
}

/// Shortens the waits of watches so that a node that others fail has a change in time.
fn limit_watch_wait(platform: &mut PlatformSettings, config_apply_ms: u64) {
    platform.watch_wait_ms = platform.watch_wait_ms.min(max_watch_wait_ms(config_apply_ms));
}
