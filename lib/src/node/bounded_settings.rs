//! Time limits of a node that follow from the bounds of its deployment.

use crate::protocol::deployment_bounds::DeploymentBounds;
use crate::protocol::settings::LimitSettings;
use crate::protocol::settings::PlatformSettings;
use crate::protocol::settings::Settings;
use crate::transport::evacuation_watcher::max_evacuation_wait_ms;
use crate::transport::routes_watcher::max_watch_wait_ms;

/// Part of the grace period that a stop leaves for the process to end, as a divisor.
const END_RESERVE_DIVISOR: u64 = 10;

/// Smallest time that a stop leaves for the process to end, in milliseconds: the sum of the waits after its limit.
const MIN_END_RESERVE_MS: u64 = 600;

/// Largest part of the grace period that a stop leaves unused, as a divisor.
const MAX_END_RESERVE_DIVISOR: u64 = 6;

/// Largest part of a stop in which the node only reports that it is not ready, as a divisor.
const MAX_NOTICE_DIVISOR: u64 = 2;

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
