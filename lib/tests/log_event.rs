//! Quoting of log fields and the rate limit for repeated log lines.

use std::time::Duration;

use tokio::time::Instant;
use yuccatray::protocol::log_event::LogRateLimit;
use yuccatray::protocol::log_event::LogValue;

#[test]
fn field_single_word_unquoted() {
    assert_eq!(LogValue("vm-1.a.7").to_string(), "vm-1.a.7");
    assert_eq!(LogValue(7).to_string(), "7");
}

#[test]
fn field_other_text_quoted() {
    assert_eq!(LogValue("").to_string(), r#""""#);
    assert_eq!(LogValue("two words").to_string(), r#""two words""#);
    assert_eq!(LogValue("a\nINFO forged; line=1").to_string(), r#""a\nINFO forged; line=1""#);
    assert_eq!(LogValue("say \"no\"").to_string(), r#""say \"no\"""#);
}

#[tokio::test(start_paused = true)]
async fn line_limit_counts_dropped_lines() {
    let limit = LogRateLimit::new();
    let admitted = (0..100).filter(|_| limit.admit(Instant::now()).is_some()).count();
    assert_eq!(admitted, 10);
    tokio::time::advance(Duration::from_millis(999)).await;
    assert_eq!(limit.admit(Instant::now()), None);
    tokio::time::advance(Duration::from_millis(1)).await;
    assert_eq!(limit.admit(Instant::now()), Some(91));
    assert_eq!(limit.admit(Instant::now()), Some(0));
}

#[tokio::test(start_paused = true)]
async fn line_limit_of_given_size() {
    let limit = LogRateLimit::with_max_lines(50);
    assert_eq!((0..100).filter(|_| limit.admit(Instant::now()).is_some()).count(), 50);
}
