//! Reading `Retry-After`: nonsense must neither panic nor count as a time.

#![allow(clippy::expect_used)]

use std::time::Duration;

use http::{HeaderMap, HeaderValue};
use wheel_upstream::retry_after;

fn read(value: &str) -> Option<Duration> {
    let value = HeaderValue::from_str(value).expect("a value");
    retry_after(&HeaderMap::from_iter([(http::header::RETRY_AFTER, value)]))
}

#[test]
fn retry_after_whole_and_fractional_seconds() {
    assert_eq!(read("3"), Some(Duration::from_secs(3)));
    assert_eq!(read(" 0.25 "), Some(Duration::from_millis(250)));
}

#[test]
fn retry_after_nonsense_is_none() {
    for value in ["", "soon", "0", "-3", "NaN", "inf", "Fri, 31 Dec 1999 23:59:59 GMT"] {
        assert_eq!(read(value), None, "{value}");
    }
    assert_eq!(retry_after(&HeaderMap::new()), None);
}

#[test]
fn retry_after_huge_is_bounded() {
    assert_eq!(read("1e300"), Some(Duration::from_secs(3_600)));
}
