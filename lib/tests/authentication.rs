//! Authentication of requests: the table of tenants, the decision, and what is kept of running requests.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;
use tokio::time::Instant;
use yuccatray::coordination::authentication::AuthenticationRequest;
use yuccatray::coordination::authentication::CallerIdentity;
use yuccatray::coordination::authentication::IdentitySource;
use yuccatray::coordination::authentication::KeyRules;
use yuccatray::coordination::authentication::OUTCOMES;
use yuccatray::coordination::authentication::Refusal;
use yuccatray::coordination::authentication::authenticate;
use yuccatray::protocol::credentials::Credentials;
use yuccatray::protocol::error_kind::ErrorKind;
use yuccatray::protocol::tenant::ApiKey;
use yuccatray::protocol::tenant::TenantRate;
use yuccatray::protocol::tenant::TenantSpec;
use yuccatray::state::authentication_metrics::AuthenticationMetrics;
use yuccatray::state::running_requests::RunningRequest;
use yuccatray::state::running_requests::RunningRequests;
use yuccatray::state::tenant_table::TenantTable;

const RATE: TenantRate = TenantRate { millirequests_per_s: 5_000, burst: 10 };
const RULES: KeyRules = KeyRules { max_refusal_age: Duration::from_millis(2_500), revoke_after: None };
const FAIL_CLOSED: KeyRules = KeyRules { revoke_after: Some(Duration::from_secs(5)), ..RULES };

fn table() -> TenantTable {
    let tenant = |name: &str, keys: &[&str], priority| TenantSpec {
        name: Arc::from(name),
        api_keys: keys.iter().map(|key| ApiKey::new(key)).collect(),
        priority,
        rate: priority.map(|_| RATE),
    };
    TenantTable::new(&[tenant("acme", &["k1", "k2"], Some(2)), tenant("zeta", &["k3"], None)])
}

fn request(credentials: Credentials<'_>) -> AuthenticationRequest<'_> {
    AuthenticationRequest { credentials, route_is_public: false, parent_tenant: None }
}

/// Decides on a request under a configuration that was confirmed `age_ms` ago.
fn decide(
    request: &AuthenticationRequest<'_>,
    rules: &KeyRules,
    age_ms: Option<u64>,
) -> Result<CallerIdentity, Refusal> {
    let confirmed_at = Instant::now();
    let now = confirmed_at + Duration::from_millis(age_ms.unwrap_or_default());
    authenticate(&table(), request, rules, age_ms.map(|_| confirmed_at), now)
}

fn tenant_name(caller: &CallerIdentity) -> Option<&str> {
    caller.tenant.as_ref().map(|tenant| tenant.name.as_ref())
}

#[test]
fn find_by_key_each_key_of_each_tenant() {
    let table = table();
    let name_of = |key: &str| table.find_by_key(key.as_bytes()).map(|tenant| tenant.name.to_string());
    assert_eq!(["k1", "k2", "k3"].map(name_of), ["acme", "acme", "zeta"].map(|name| Some(name.to_owned())));
    assert_eq!(["", "k", "k11", "K1", "acme"].map(name_of), [const { None }; 5]);
    let acme = table.find_by_key(b"k1").expect("the key is known");
    assert_eq!((acme.priority, acme.rate), (Some(2), Some(RATE)));
}

/// Guards against keys in logs through the debug output of a table or of credentials.
#[test]
fn debug_output_without_keys() {
    let shown = format!("{:?} {:?}", table(), request(Credentials::Key("k1")));
    assert!(shown.contains("redacted") && !shown.contains("k1"), "{shown}");
}

#[test]
fn authenticate_known_key_at_any_age_without_fail_closed() {
    for age_ms in [Some(0), Some(60_000), None] {
        let caller = decide(&request(Credentials::Key("k1")), &RULES, age_ms).expect("the key is known");
        assert_eq!((caller.source, tenant_name(&caller)), (IdentitySource::Key, Some("acme")));
        assert_eq!(caller.priority(), Some(2));
    }
}

/// Guards against refusing for good a key that a newer configuration holds.
#[test]
fn authenticate_unknown_key_refused_for_good_only_while_confirmed() {
    let unknown = request(Credentials::Key("other"));
    let refusal = |age_ms| decide(&unknown, &RULES, age_ms).expect_err("the key is unknown");
    assert_eq!(refusal(Some(2_499)), Refusal::UnknownKey);
    assert_eq!(refusal(Some(2_500)), Refusal::Unconfirmed);
    assert_eq!(refusal(None), Refusal::Unconfirmed);
    assert!(Refusal::Unconfirmed.answer().retry_after.is_some());
}

/// Guards against keys that stay valid on a node that may have missed their removal.
#[test]
fn authenticate_fail_closed_every_request_that_needs_a_key_refused() {
    let credentials = [Credentials::Key("k1"), Credentials::Key("other"), Credentials::Absent];
    for credentials in credentials {
        for age_ms in [Some(5_000), None] {
            assert_eq!(decide(&request(credentials), &FAIL_CLOSED, age_ms), Err(Refusal::Revoked));
        }
    }
    let confirmed = decide(&request(Credentials::Key("k1")), &FAIL_CLOSED, Some(4_999));
    assert_eq!(confirmed.map(|caller| caller.source), Ok(IdentitySource::Key));
    let public = AuthenticationRequest { route_is_public: true, ..request(Credentials::Absent) };
    let source = decide(&public, &FAIL_CLOSED, None).map(|caller| caller.source);
    assert_eq!(source, Ok(IdentitySource::PublicRoute));
}

#[test]
fn authenticate_odd_credentials_refused_by_kind() {
    let cases = [
        (Credentials::Absent, Refusal::NoKey, ErrorKind::Unauthenticated),
        (Credentials::Unreadable, Refusal::UnreadableKey, ErrorKind::Unauthenticated),
        (Credentials::Repeated, Refusal::RepeatedCredentials, ErrorKind::MalformedRequest),
    ];
    for (credentials, refusal, kind) in cases {
        assert_eq!(decide(&request(credentials), &RULES, Some(0)), Err(refusal));
        assert_eq!(refusal.answer().kind, kind);
    }
}

#[test]
fn authenticate_public_route_needs_no_key_and_names_no_tenant() {
    for credentials in [Credentials::Absent, Credentials::Unreadable, Credentials::Key("k1")] {
        let public = AuthenticationRequest { route_is_public: true, ..request(credentials) };
        let caller = decide(&public, &RULES, None).expect("the route is public");
        assert_eq!((caller.source, caller.authenticated_tenant()), (IdentitySource::PublicRoute, None));
    }
}

/// Guards against nested calls that fail since the key that started them is not passed on.
#[test]
fn authenticate_nested_call_inherits_tenant_unless_it_has_a_key() {
    let nested = |credentials, parent: &str| AuthenticationRequest {
        parent_tenant: Some(Arc::from(parent)),
        ..request(credentials)
    };
    let caller = decide(&nested(Credentials::Absent, "acme"), &FAIL_CLOSED, None).expect("it inherits");
    assert_eq!((caller.source, tenant_name(&caller)), (IdentitySource::RunningRequest, Some("acme")));
    assert_eq!(caller.priority(), Some(2));
    let caller = decide(&nested(Credentials::Key("k3"), "acme"), &RULES, None).expect("the key is known");
    assert_eq!(tenant_name(&caller), Some("zeta"));
    let refused = decide(&nested(Credentials::Key("other"), "acme"), &RULES, Some(0));
    assert_eq!(refused, Err(Refusal::UnknownKey));
    let removed = decide(&nested(Credentials::Absent, "removed"), &RULES, None).expect("it inherits");
    assert_eq!((tenant_name(&removed), removed.priority()), (Some("removed"), None));
}

/// Guards against a caller that gives its request the identity of another tenant's running one.
#[test]
fn running_requests_same_identity_first_tenant_kept() {
    let requests = RunningRequests::default();
    let id = HeaderValue::from_static("r1");
    let of = |name: &str| RunningRequest { tenant: Some(Arc::from(name)) };
    requests.insert(id.clone(), of("acme"));
    requests.insert(id.clone(), of("zeta"));
    assert_eq!(requests.get("r1"), Some(of("acme")));
    requests.remove(&id, &of("acme"));
    assert_eq!(requests.get("r1"), Some(of("zeta")));
    requests.remove(&id, &of("zeta"));
    assert_eq!(requests.get("r1"), None);
}

/// Guards against counts that grow with each version of the configuration.
#[test]
fn authentication_metrics_latest_versions_kept() {
    let metrics = AuthenticationMetrics::default();
    let mut registry = Registry::default();
    metrics.register_in(&mut registry);
    for version in 0..10 {
        metrics.count(IdentitySource::Key.name(), &Arc::from(format!("v{version}")), &OUTCOMES);
    }
    let mut text = String::new();
    encode(&mut text, &registry).expect("the metrics can be written");
    let kept: Vec<bool> = (0..10).map(|version| text.contains(&format!("\"v{version}\""))).collect();
    assert_eq!(kept, [[false; 6].as_slice(), &[true; 4]].concat(), "{text}");
}
