//! Time to agree and bytes by size, on the machines alone.
//!
//! `YUCCATRAY_FLEET_SIZE=1300 cargo test --release -p yuccatray --test fleet_size -- --nocapture`
//! prints the figures at the size that the design aims at.

use std::time::Duration;

use yuccatray_testutils::fleet_harness::Fleet;

const DEFAULT_SIZE: usize = 40;
const ZONES: usize = 7;
const REST_SECONDS: u8 = 20;

/// The brief's bound on control traffic of one node, sent and received together.
const MAX_BYTES_PER_SECOND: usize = 3_000;

fn size() -> usize {
    std::env::var("YUCCATRAY_FLEET_SIZE").ok().and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_SIZE)
}

fn bytes(fleet: &Fleet) -> usize {
    fleet.datagram_bytes + fleet.exchange_bytes
}

#[test]
fn fleet_agrees_within_its_bounds() {
    let size = size();
    let mut fleet = Fleet::new(size, ZONES, 1);
    fleet.checked = size <= DEFAULT_SIZE;
    for place in 0..size {
        fleet.start(place, false);
    }
    let joined = fleet.run_until(Duration::from_mins(3), Fleet::all_know_all).expect("all join");
    println!("{size} nodes joined after {joined:?}, {} bytes each", bytes(&fleet) / size);
    fleet.run(Duration::from_mins(2));

    let before = bytes(&fleet);
    fleet.run(Duration::from_secs(u64::from(REST_SECONDS)));
    let per_second = (bytes(&fleet) - before) / size / usize::from(REST_SECONDS);
    println!("at rest {per_second} bytes/s sent by each node");
    assert!(per_second * 2 <= MAX_BYTES_PER_SECOND, "{per_second} bytes/s sent and as many received");

    let before = bytes(&fleet);
    fleet.publish("orders");
    let everywhere = fleet.run_until(Duration::from_secs(19), Fleet::all_hold_latest);
    println!("a change everywhere after {everywhere:?}");
    assert!(everywhere.is_some(), "a change is in force everywhere within 19 s");
    fleet.run(Duration::from_secs(10));
    let spent = (bytes(&fleet) - before) / size;
    println!("{spent} bytes for each node in the 10 s after");

    fleet.leave(7);
    let known = fleet.run_until(Duration::from_secs(2), |fleet| fleet.is_out_of_use(7));
    println!("a leave known everywhere after {known:?}");
    assert!(known.is_some(), "a leave is known everywhere within 2 s");

    fleet.crash(11);
    let known = fleet.run_until(Duration::from_secs(30), |fleet| fleet.is_out_of_use(11));
    println!("a crash known everywhere after {known:?}");
    assert!(known.is_some(), "a crash is known everywhere within 30 s");
}
