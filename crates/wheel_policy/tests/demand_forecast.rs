//! Forecasts in the local time of a service.

use std::time::Duration;

use jiff::Timestamp;
use wheel_manifest::{DeploymentManifest, ServiceSpec};
use wheel_policy::DemandForecast;

const HOUR_S: i64 = 3_600;
const QUARTER_S: i64 = 900;

fn manifest(time_zone: &str) -> DeploymentManifest {
    let service = ServiceSpec {
        name: "desk".into(),
        rank: "question".to_owned(),
        callers: vec![],
        models: vec!["summary".into(), "rare".into()],
        adapters: vec![],
        depends_on: vec![],
        time_zone: time_zone.to_owned(),
        path_prefix: None,
        idempotent: false,
    };
    DeploymentManifest { services: vec![service], ..DeploymentManifest::default() }
}

fn utc(text: &str) -> Timestamp {
    text.parse().unwrap_or_else(|error| panic!("{text}: {error}"))
}

fn plus(at: Timestamp, seconds: i64) -> Timestamp {
    at.checked_add(Duration::from_secs(seconds.unsigned_abs())).unwrap_or(at)
}

/// Records `days` of arrivals, every quarter of an hour as many as `arrivals` gives.
fn record_days(
    forecast: &mut DemandForecast,
    start: Timestamp,
    days: i64,
    arrivals: impl Fn(Timestamp) -> u32,
) -> Timestamp {
    let end = plus(start, days * 24 * HOUR_S);
    let mut at = start;
    while at < end {
        forecast.advance(at);
        match arrivals(at) {
            0 => {}
            count => forecast.record(at, &"desk".into(), &"summary".into(), count),
        }
        at = plus(at, QUARTER_S);
    }
    forecast.advance(end);
    end
}

fn utc_hour(at: Timestamp) -> i64 {
    at.as_second().rem_euclid(24 * HOUR_S) / HOUR_S
}

#[test]
fn rate_after_spring_change_peak_moves() {
    let mut forecast = DemandForecast::open(&manifest("Europe/Lisbon"));
    let start = utc("2026-03-02T00:00:00Z");
    let monday = record_days(&mut forecast, start, 28, |at| u32::from(utc_hour(at) == 9) * 10);
    assert_eq!(monday, utc("2026-03-30T00:00:00Z"));
    let early = forecast.rate(utc("2026-03-30T08:30:00Z"), &"summary".into());
    let late = forecast.rate(utc("2026-03-30T09:30:00Z"), &"summary".into());
    assert!(early > 20.0 && late < 5.0, "08:30Z {early}, 09:30Z {late}");
}

#[test]
fn rate_after_autumn_change_peak_moves() {
    let mut forecast = DemandForecast::open(&manifest("Europe/Lisbon"));
    let start = utc("2026-09-28T00:00:00Z");
    record_days(&mut forecast, start, 28, |at| u32::from(utc_hour(at) == 8) * 10);
    let early = forecast.rate(utc("2026-10-26T08:30:00Z"), &"summary".into());
    let late = forecast.rate(utc("2026-10-26T09:30:00Z"), &"summary".into());
    assert!(early < 5.0 && late > 20.0, "08:30Z {early}, 09:30Z {late}");
}

#[test]
fn rate_doubled_and_missing_hours_stay_even() {
    for start in ["2026-10-12T00:00:00Z", "2026-03-16T00:00:00Z"] {
        let mut forecast = DemandForecast::open(&manifest("Europe/Lisbon"));
        let end = record_days(&mut forecast, utc(start), 21, |_| 3);
        for quarter in 0..7 * 96 {
            let at = plus(end, quarter * QUARTER_S);
            let rate = forecast.rate(at, &"summary".into());
            assert!((10.0..14.0).contains(&rate), "{at}: {rate}, expected 12");
        }
    }
}

#[test]
fn rate_unknown_zone_and_model_fall_back() {
    let mut forecast = DemandForecast::open(&manifest("Atlantis/Centre"));
    assert_eq!(forecast.unknown_zones(), ["Atlantis/Centre"]);
    let end = record_days(&mut forecast, utc("2026-03-02T00:00:00Z"), 14, |at| {
        u32::from(utc_hour(at) == 9)
    });
    assert!(forecast.rate(plus(end, 9 * HOUR_S), &"summary".into()) > 1.0);
    assert_eq!(forecast.rate(end, &"nobody".into()), 0.0);
    assert_eq!(forecast.rate(end, &"rare".into()), 0.0);
}

#[test]
fn rate_holiday_level_falls_and_recovers() {
    let mut forecast = DemandForecast::open(&manifest("Europe/Lisbon"));
    let busy = |at: Timestamp| u32::from((9..18).contains(&utc_hour(at))) * 10;
    let monday = record_days(&mut forecast, utc("2026-01-05T00:00:00Z"), 28, busy);
    let usual = forecast.rate(plus(monday, 14 * HOUR_S), &"summary".into());
    forecast.advance(plus(monday, 14 * HOUR_S));
    let holiday = forecast.rate(plus(monday, 14 * HOUR_S), &"summary".into());
    assert!(holiday < 0.35 * usual, "usual {usual}, holiday {holiday}");
    let tuesday = plus(monday, 24 * HOUR_S);
    record_days(&mut forecast, tuesday, 1, busy);
    let again = forecast.rate(plus(tuesday, 38 * HOUR_S), &"summary".into());
    assert!(again > 0.6 * usual, "usual {usual}, again {again}");
}

#[test]
fn expected_span_crosses_into_the_peak() {
    let mut forecast = DemandForecast::open(&manifest("Asia/Bangkok"));
    let start = utc("2026-03-02T00:00:00Z");
    let monday = record_days(&mut forecast, start, 28, |at| u32::from(utc_hour(at) == 2) * 10);
    let before = plus(monday, 2 * HOUR_S - 600);
    let short = forecast.expected(before, &"summary".into(), Duration::from_secs(300));
    let long = forecast.expected(before, &"summary".into(), Duration::from_secs(3_600));
    assert!(short < 2.0 && long > 20.0, "short {short}, long {long}");
}
