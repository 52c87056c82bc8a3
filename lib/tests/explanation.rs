//! Explanations of choices: what became of each upstream, without keys and without effect on real requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use yuccatray::coordination::evacuation::may_send_to;
use yuccatray::coordination::explanation::exclusion;
use yuccatray::coordination::explanation::verdicts;
use yuccatray::coordination::quota::client::ClientContext;
use yuccatray::coordination::quota::client::QuotaClient;
use yuccatray::coordination::quota::fleet_roles::FleetRoles;
use yuccatray::coordination::quota::local_share::LocalShare;
use yuccatray::coordination::quota::tenant_limits::TenantLimit;
use yuccatray::coordination::quota::tenant_limits::TenantLimits;
use yuccatray::coordination::routing::Candidate;
use yuccatray::coordination::routing::FULL_RAMP_UP_PERMILLE;
use yuccatray::coordination::routing::RoutingContext;
use yuccatray::coordination::routing::RoutingPolicy;
use yuccatray::coordination::routing::ZoneFirst;
use yuccatray::protocol::evacuation::EvacuationSet;
use yuccatray::protocol::evacuation::ZoneEvacuation;
use yuccatray::protocol::explain::ExplainRequest;
use yuccatray::protocol::explain::QuotaServerState;
use yuccatray::protocol::explain::Verdict;
use yuccatray::protocol::member::Member;
use yuccatray::protocol::member::MemberId;
use yuccatray::protocol::member::MemberState;
use yuccatray::protocol::member::UpstreamInfo;
use yuccatray::state::upstream_stats::UpstreamLoad;
use yuccatray::state::usual_timeout::UsualTimeout;

const CONTEXT: RoutingContext = RoutingContext {
    max_ejected_percent: 50,
    objective_us: 300_000,
    typical_us: 30_000,
    cross_zone_cost_permille: 200,
};

fn member(state: MemberState, draining: Option<bool>) -> Member {
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    Member {
        id: MemberId { name: Arc::from("vm-1"), incarnation: 1 },
        version: 1,
        state,
        region: Arc::from("r"),
        zone: Arc::from("a"),
        peer_addr: addr,
        ingress_addr: addr,
        admin_addr: addr,
        upstream: draining.map(|draining| UpstreamInfo { service: Arc::from("s"), slots: 9, draining }),
    }
}

fn evacuated(zone: &str) -> EvacuationSet {
    let (zone, uid) = (Arc::from(zone), Arc::from("1"));
    EvacuationSet { zones: vec![ZoneEvacuation { zone, uid, since_unix_ms: 0 }] }
}

/// Guards against an upstream shown as a candidate that no request may be sent to, or the reverse.
#[test]
fn exclusion_each_reason_agrees_with_real_candidates() {
    use MemberState::Alive;
    let zone_a = Some("a");
    let cases = [
        (Alive, Some(false), None, None),
        (Alive, Some(false), Some("b"), None),
        (MemberState::Suspect, Some(false), None, None),
        (Alive, Some(false), zone_a, Some(Verdict::EvacuatedZone)),
        (Alive, Some(true), None, Some(Verdict::Draining)),
        (Alive, None, None, Some(Verdict::NotAnnounced)),
        (MemberState::Leaving, Some(false), None, Some(Verdict::Leaving)),
        (MemberState::Dead, Some(false), zone_a, Some(Verdict::Dead)),
    ];
    for (state, draining, zone, expected) in cases {
        let (member, evacuations) = (member(state, draining), zone.map(evacuated));
        assert_eq!(exclusion(&member, evacuations.as_ref()), expected, "{member:?}");
        let is_candidate = member.accepts_calls() && may_send_to(&member.zone, evacuations.as_ref());
        assert_eq!(is_candidate, expected.is_none(), "{member:?}");
    }
}

fn candidate(port: u16) -> Candidate {
    Candidate {
        peer_addr: SocketAddr::from(([127, 0, 0, 1], port)),
        load: UpstreamLoad { service_time_us: 30_000, reported_slots: 9, ..UpstreamLoad::default() },
        slots: 9,
        same_zone: true,
        ramp_up_permille: FULL_RAMP_UP_PERMILLE,
    }
}

/// Guards against an explanation that differs from the real choice, or gives a wrong reason.
#[test]
fn verdicts_each_reason_agrees_with_choose() {
    let mut candidates: Vec<Candidate> = (0..9).map(candidate).collect();
    candidates[1].load.consecutive_failures = 5;
    candidates[2].load.service_time_us = 400_000;
    candidates[3].ramp_up_permille = 50;
    for seed in 0..50 {
        let rng = || Pcg64Mcg::seed_from_u64(seed);
        let chosen = ZoneFirst.choose(&candidates, CONTEXT, &mut rng()).expect("there are candidates");
        let choice = ZoneFirst.explain_choice(&candidates, CONTEXT, &mut rng()).expect("it explains");
        let verdicts = verdicts(&candidates, &choice, CONTEXT.max_ejected_percent);
        assert_eq!(verdicts.iter().position(|verdict| *verdict == Verdict::Chosen), Some(chosen));
        assert_eq!(verdicts[1..3], [Verdict::Ejected; 2]);
        let count = |verdict| verdicts.iter().filter(|other| **other == verdict).count();
        assert_eq!(count(Verdict::Chosen) + count(Verdict::Outranked), 4, "four are compared: {verdicts:?}");
        if !choice.shortlist.eligible.contains(&3) {
            assert_eq!((verdicts[3], count(Verdict::NotSampled)), (Verdict::RampingUp, 2));
        }
    }
}

/// Guards against start delays by cold or rate limits that an explanation leaves out.
#[test]
fn explain_choice_start_delay_counts_in_latency() {
    let mut candidates = vec![candidate(1), candidate(2)];
    candidates[0].load.start_delay_us = 250_000;
    let choice = ZoneFirst.explain_choice(&candidates, CONTEXT, &mut Pcg64Mcg::seed_from_u64(1));
    let choice = choice.expect("it explains");
    assert_eq!(choice.chosen, Some(1));
    assert_eq!(choice.expected_latencies_us, [280_000, 30_000]);
}

/// Guards against keys in the log of a node or a tool.
#[test]
fn explain_request_debug_has_no_field_value() {
    let field = ("authorization".to_owned(), "Token s3cret".to_owned());
    let (method, host, path) = ("GET".to_owned(), "h".to_owned(), "/s3cret".to_owned());
    let request = ExplainRequest { method, host, path, fields: vec![field] };
    assert!(!format!("{request:?}").contains("s3cret"));
}

/// Guards against explanations that shift the timeout that callers usually send.
#[test]
fn waited_equals_record_and_records_nothing() {
    let (explained, real) = (UsualTimeout::default(), UsualTimeout::default());
    for timeout_ms in [900, 900, 400, 300, 300, 900, 300, 300, 300] {
        let timeout = Duration::from_millis(timeout_ms);
        let waited = explained.waited(timeout);
        assert_eq!(waited, explained.waited(timeout));
        assert_eq!(waited, real.record(timeout));
        explained.record(timeout);
    }
}

/// Guards against explanations that ask a quota server or take a place among the requests that wait.
#[test]
fn quota_outlook_changes_nothing() {
    let local = member(MemberState::Alive, None);
    let roles = FleetRoles::new(&local, &[Arc::new(local.clone())]);
    let tenant: Arc<str> = Arc::from("acme");
    let limit = TenantLimit { rate_millis_per_s: 5_000, burst: 3 };
    let limits = TenantLimits { revision: 1, limits: [(Arc::clone(&tenant), limit)].into_iter().collect() };
    let own_name: Arc<str> = Arc::from("vm-1");
    let mut local = LocalShare::new(Arc::clone(&own_name), Duration::ZERO);
    let mut context = ClientContext {
        roles: &roles,
        limits: &limits,
        local: &mut local,
        own_name: &own_name,
        share_borrower: None,
    };
    let mut client = QuotaClient::new(1);
    let at = |ms| Duration::from_millis(ms);
    let state = |client: &QuotaClient, ms| {
        let outlook = client.outlook(&tenant, &roles, None, at(ms));
        (outlook.server.as_deref() == Some("vm-1"), outlook.server_state, outlook.waiting)
    };
    let before = format!("{client:?}");
    assert_eq!(state(&client, 0), (true, QuotaServerState::NotAsked, 0));
    assert_eq!(format!("{client:?}"), before);
    client.admit(7, &tenant, at(500), &mut context, at(0));
    assert_eq!(state(&client, 10), (true, QuotaServerState::Responsive, 1));
    client.tick(&mut context, at(150));
    assert_eq!(state(&client, 150), (true, QuotaServerState::Unresponsive, 1));
}
