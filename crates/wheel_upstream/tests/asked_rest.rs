//! Reading the rest that an upstream asks for: nonsense must neither panic nor count as a time.

#![allow(clippy::expect_used)]

use std::time::Duration;

use http::header::RETRY_AFTER;
use http::{HeaderMap, HeaderValue, StatusCode};
use wheel_upstream::asked_rest;

fn read(status: StatusCode, value: &str) -> Option<Duration> {
    let value = HeaderValue::from_str(value).expect("a value");
    asked_rest(status, &HeaderMap::from_iter([(RETRY_AFTER, value)]))
}

#[test]
fn asked_rest_whole_and_fractional_seconds() {
    assert_eq!(read(StatusCode::SERVICE_UNAVAILABLE, "3"), Some(Duration::from_secs(3)));
    let fractional = read(StatusCode::SERVICE_UNAVAILABLE, " 0.25 ");
    assert_eq!(fractional, Some(Duration::from_millis(250)));
}

#[test]
fn asked_rest_nonsense_is_none() {
    for value in ["", "soon", "0", "-3", "NaN", "inf", "Fri, 31 Dec 1999 23:59:59 GMT"] {
        assert_eq!(read(StatusCode::SERVICE_UNAVAILABLE, value), None, "{value}");
    }
    assert_eq!(asked_rest(StatusCode::SERVICE_UNAVAILABLE, &HeaderMap::new()), None);
}

#[test]
fn asked_rest_huge_is_bounded() {
    let huge = read(StatusCode::SERVICE_UNAVAILABLE, "1e300");
    assert_eq!(huge, Some(Duration::from_secs(3_600)));
}

#[test]
fn asked_rest_of_another_status_is_none() {
    for status in [StatusCode::OK, StatusCode::TOO_MANY_REQUESTS, StatusCode::BAD_GATEWAY] {
        assert_eq!(read(status, "3"), None, "{status}");
    }
}
