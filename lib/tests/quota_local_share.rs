//! Local spending of a node's own share, without the protocol around it.

use std::sync::Arc;
use std::time::Duration;

use yuccatray::coordination::quota::allowance::QuotaAllowance;
use yuccatray::coordination::quota::local_share::LocalShare;
use yuccatray::coordination::quota::tenant_limits::TenantLimit;
use yuccatray::coordination::quota::tenant_limits::TenantLimits;

const ALLOWANCE: QuotaAllowance = QuotaAllowance { window: Duration::from_secs(5), over: 0.1, slack: 20.0 };
const TENANT: &str = "tenant";
const START: Duration = Duration::from_hours(2);

fn limit(rate_per_s: u64, burst: u32) -> TenantLimit {
    TenantLimit { rate_millis_per_s: rate_per_s * 1_000, burst }
}

fn limits(limit: TenantLimit) -> TenantLimits {
    TenantLimits { revision: 1, limits: [(Arc::from(TENANT), limit)].into() }
}

fn local_share(name: &str, fleet: usize) -> LocalShare {
    let mut local = LocalShare::new(Arc::from(name), START);
    let nodes: Vec<Arc<str>> = (0..fleet).map(|index| Arc::from(format!("node-{index}"))).collect();
    local.learn_nodes(&nodes);
    local.set_allowance(Some(ALLOWANCE));
    local
}

/// Guards against buckets that are refilled for a time in which the share was lent.
#[test]
fn advance_refills_only_while_parts_are_held() {
    let limits = limits(limit(100, 50));
    let mut local = LocalShare::new(Arc::from("node-0"), START);
    local.advance(0, &limits, START);
    let mut now = START + Duration::from_secs(9);
    local.advance(500_000, &limits, now);
    assert_eq!(local.take(TENANT, 1, now).granted, 0);
    now += Duration::from_millis(100);
    local.advance(500_000, &limits, now);
    assert_eq!(local.take(TENANT, 9, now).granted, 5);
    now += Duration::from_secs(3);
    local.advance(0, &limits, now);
    local.advance(500_000, &limits, now);
    assert_eq!(local.take(TENANT, 1, now).granted, 0);
}

/// Guards against extra tokens that exceed what the deployment allows in a window.
#[test]
fn extra_tokens_leave_room_for_late_ones() {
    let counts =
        [(5, 1), (40, 20), (237, 60)].map(|(rate, burst)| ALLOWANCE.extra_tokens(limit(rate, burst)));
    assert_eq!(counts, [20, 29, 72]);
    let strict = QuotaAllowance { over: 0.0, slack: 1.0, ..ALLOWANCE };
    assert_eq!(strict.extra_tokens(limit(237, 60)), 0);
}

/// Guards against more nodes with an extra token than allowed, and against a node that has one twice in a window.
#[test]
fn take_extra_token_at_first_nodes_once_a_window() {
    let limits = limits(limit(5, 1));
    let mut served = 0;
    for index in 0..70 {
        let mut local = local_share(&format!("node-{index}"), 70);
        let now = START + Duration::from_secs(6);
        local.advance(14_285, &limits, now);
        if local.serves(TENANT) {
            served += 1;
            assert_eq!(local.take(TENANT, 3, now).granted, 1);
            let later = now + Duration::from_secs(5);
            local.advance(14_285, &limits, later);
            let refused = local.take(TENANT, 1, later);
            assert_eq!((refused.granted, refused.retry_after), (0, Duration::from_millis(100)));
            assert_eq!(local.take(TENANT, 1, later + refused.retry_after).granted, 1);
        }
    }
    assert_eq!(served, 20);
}

/// Guards against an extra token of a node that knows too few others to find its place among them.
#[test]
fn serves_small_tenant_only_with_whole_fleet_known() {
    let limits = limits(limit(5, 1));
    let served = |fleet: usize| {
        (0..fleet).any(|index| {
            let mut local = local_share(&format!("node-{index}"), fleet);
            local.advance(14_285, &limits, START);
            local.serves(TENANT)
        })
    };
    assert!(served(70) && !served(60));
}
