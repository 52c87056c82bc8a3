//! The response fields from which an ingress learns how long a call takes on a VM at normal speed.

use std::time::Duration;

use http::HeaderMap;
use http::HeaderValue;
use yuccatray::protocol::headers;
use yuccatray::transport::upstream_fields::queued_time;
use yuccatray::transport::upstream_fields::service_time_at_normal_speed;
use yuccatray::transport::upstream_fields::set_execution_fields;

const QUEUED: Duration = Duration::from_millis(30);
const SERVICE_TIME: Duration = Duration::from_millis(920);

#[test]
fn service_time_on_slow_vm_does_not_raise_typical_time() {
    let mut fields = HeaderMap::new();
    set_execution_fields(&mut fields, QUEUED, 400);
    assert_eq!(queued_time(&fields), QUEUED);
    assert_eq!(service_time_at_normal_speed(&fields, SERVICE_TIME), SERVICE_TIME / 4);
}

#[test]
fn service_time_at_normal_speed_is_unchanged() {
    let mut fields = HeaderMap::new();
    set_execution_fields(&mut fields, QUEUED, 100);
    assert!(!fields.contains_key(headers::START_SLOWDOWN_PERCENT));
    assert_eq!(service_time_at_normal_speed(&fields, SERVICE_TIME), SERVICE_TIME);
}

#[test]
fn service_time_with_malformed_slowdown_is_unchanged() {
    for malformed in ["", "fast", "-4", "4e2", "0"] {
        let mut fields = HeaderMap::new();
        fields.insert(headers::START_SLOWDOWN_PERCENT, HeaderValue::from_static(malformed));
        assert_eq!(service_time_at_normal_speed(&fields, SERVICE_TIME), SERVICE_TIME, "{malformed:?}");
    }
}
