//! Epochs of a lease whose store was restored from a copy.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use yuccatray::coordination::lease::LeaseDecision;
use yuccatray::coordination::lease::LeaseValue;
use yuccatray::coordination::lease::LeaseWatch;

const TTL: Duration = Duration::from_secs(3);

fn lease(holder: &str, epoch: u64) -> LeaseValue {
    LeaseValue { holder: Arc::from(holder), epoch, renewal: 0, ttl_ms: 3_000 }
}

fn written(decision: LeaseDecision) -> LeaseValue {
    match decision {
        LeaseDecision::Write(value) => value,
        LeaseDecision::Wait => panic!("the lease can be acquired"),
    }
}

#[test]
fn lease_epoch_not_given_out_again_after_a_restore() {
    let now = Instant::now();
    let mut watch = LeaseWatch::new(Arc::from("vm-0.1"), TTL);
    assert_eq!(watch.decide(Some(lease("vm-1.1", 7)), now), LeaseDecision::Wait);
    let restored = lease("vm-2.1", 3);
    assert_eq!(watch.decide(Some(restored.clone()), now), LeaseDecision::Wait);
    let acquired = written(watch.decide(Some(restored), now + TTL));
    assert!(acquired.epoch > 7, "{acquired:?}");
}

#[test]
fn own_lease_restored_from_a_copy_acquired_anew() {
    let now = Instant::now();
    let mut watch = LeaseWatch::new(Arc::from("vm-0.1"), TTL);
    let earlier = written(watch.decide(None, now));
    assert_eq!(watch.decide(Some(lease("vm-1.1", 2)), now), LeaseDecision::Wait);
    let acquired = written(watch.decide(Some(earlier.clone()), now));
    assert!(acquired.epoch > 2, "{acquired:?}");
    assert_eq!(written(watch.decide(Some(acquired.clone()), now)).epoch, acquired.epoch, "renewed");
    let acquired_again = written(watch.decide(None, now));
    assert!(acquired_again.epoch > acquired.epoch, "{acquired_again:?}");
}
