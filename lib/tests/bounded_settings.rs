//! Time limits of a node that follow from the bounds of its deployment.

use yuccatray::node::apply_bounds;
use yuccatray::protocol::deployment_bounds::DeploymentBounds;
use yuccatray::protocol::settings::Settings;

/// Part of a grace period that a stop may leave unused, as a divisor.
const UNUSED_DIVISOR: u64 = 6;

fn settings() -> Settings {
    let text = r#"{
        "node": { "name": "vm-1", "region": "r", "zone": "z" },
        "listen": {
            "ingress_addr": "127.0.0.1:0", "peer_addr": "127.0.0.1:0",
            "announce_addr": "127.0.0.1:0", "admin_addr": "127.0.0.1:0"
        },
        "platform": { "addr": "127.0.0.1:1", "watch_wait_ms": 900 },
        "limits": { "unready_notice_ms": 2700, "shutdown_timeout_ms": 5600 }
    }"#;
    Settings::parse(text).expect("the settings are valid")
}

fn bounded(bounds: DeploymentBounds) -> Settings {
    let mut settings = settings();
    apply_bounds(&mut settings, &bounds);
    settings
}

#[test]
fn apply_bounds_stop_follows_grace_period() {
    for (grace_ms, timeout_ms, notice_ms) in
        [(1_000, 834, 417), (3_000, 2_500, 1_250), (6_000, 5_400, 2_700), (10_000, 9_000, 2_700)]
    {
        let limits = bounded(DeploymentBounds { stop_grace_ms: Some(grace_ms), ..Default::default() }).limits;
        assert_eq!((limits.shutdown_timeout_ms, limits.unready_notice_ms), (timeout_ms, notice_ms));
    }
}

#[test]
fn apply_bounds_stop_ends_in_last_part_of_any_grace_period() {
    for grace_ms in (10..60_000).step_by(10) {
        let limits = bounded(DeploymentBounds { stop_grace_ms: Some(grace_ms), ..Default::default() }).limits;
        let end_ms = limits.shutdown_timeout_ms;
        assert!(end_ms < grace_ms, "{grace_ms}: the stop lasts {end_ms} ms");
        assert!(grace_ms - end_ms <= grace_ms / UNUSED_DIVISOR, "{grace_ms}: the stop lasts {end_ms} ms");
    }
}

#[test]
fn apply_bounds_watches_follow_configuration_bound() {
    for (config_apply_ms, watch_wait_ms) in [(500, 100), (1_500, 400), (2_000, 900), (3_000, 900)] {
        let bounds = DeploymentBounds { config_apply_ms: Some(config_apply_ms), ..Default::default() };
        assert_eq!(bounded(bounds).platform.watch_wait_ms, watch_wait_ms);
    }
}

#[test]
fn apply_bounds_evacuations_followed_only_with_their_bound() {
    assert_eq!(settings().platform.evacuation_wait_ms, None);
    for (evacuation_ms, wait_ms, watch_wait_ms) in [(1_500, 100, 400), (5_000, 3_000, 900)] {
        let bounds = DeploymentBounds { evacuation_ms: Some(evacuation_ms), ..Default::default() };
        let platform = bounded(bounds).platform;
        assert_eq!((platform.evacuation_wait_ms, platform.watch_wait_ms), (Some(wait_ms), watch_wait_ms));
    }
}

#[test]
fn apply_bounds_none_set_settings_unchanged() {
    assert_eq!(bounded(DeploymentBounds::default()), settings());
}
