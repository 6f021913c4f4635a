//! One entry of a list that can't be parsed must not hide the others, whatever its bytes are.

#![allow(clippy::expect_used)]

use std::time::{Duration, Instant};

use serde_json::Value;
use wheel_types::RawEntries;

fn split(page: &[u8]) -> RawEntries<'_> {
    RawEntries::split(page, Some("items")).expect("it has the list")
}

/// Numbers, escapes, bytes that aren't UTF-8 and nesting are the entry's own matter.
#[test]
fn split_odd_entry_is_one_entry() {
    let deep = [b"[".repeat(200_000), b"]".repeat(200_000)].concat();
    let odd: [&[u8]; 7] =
        [&deep, b"1e999", br#"{"a":"\ud800 } ] \" {"}"#, b"\"\xff\xfe\"", b"{}", b"\xff", b"-"];
    for entry in odd {
        let page = [br#" {"a":[1,{"items":[]}],"items":[{"id":1},"#, entry].concat();
        let page = [&page[..], br#" , {"id":2} ],"next":"p"} "#].concat();
        let raw = split(&page);
        assert_eq!(raw.entries, [&br#"{"id":1}"#[..], entry, br#"{"id":2}"#]);
        assert_eq!((raw.field("next"), raw.damaged), (Some(&br#""p""#[..]), None));
    }
}

#[test]
fn split_without_list_is_none() {
    for page in [&b"no list"[..], b"", b"{", br#"{"items":{}}"#, b"[]", br#"{"item":[]}"#] {
        assert_eq!(RawEntries::split(page, Some("items")), None);
    }
    assert_eq!(RawEntries::split(b"{}", None), None);
    let list = RawEntries::split(b" [1, {}]", None).expect("a list");
    assert_eq!(list.entries, [&b"1"[..], b"{}"]);
}

/// An entry whose brackets or strings don't end takes part of the page with it. What follows is
/// found again by what whole entries look like.
#[test]
fn salvage_finds_entries_behind_broken_brackets() {
    let deep = [&b"[{\"a\":".repeat(50_000)[..], b","].concat();
    let broken: [&[u8]; 11] = [
        &deep,
        b"[,",
        br#"{"a":"no end},"#,
        br#"{"a":[},"#,
        br#"{"a":{"b":1},"#,
        br#"{"a":1}},"#,
        br#"{"a":1}],"#,
        br#"{"a":1}]},"#,
        br#"{"a":1}"#,
        br#"]"#,
        br#"{"a":"\"},"#,
    ];
    for entry in broken {
        let page =
            [br#"{"items":[{"id":1},"#, entry, br#"{"id":2},{"id":3}],"next":"p"}"#].concat();
        let raw = split(&page);
        let raw = raw.widen_damage(|entry| serde_json::from_slice::<Value>(entry).is_ok());
        assert_eq!(raw.entries[0], br#"{"id":1}"#);
        let damaged = raw.damaged.expect("the page is damaged");
        assert!(damaged.len() < page.len());
        let found = raw.salvage(|entry| entry.starts_with(br#"{"id""#));
        assert_eq!(
            found,
            [&br#"{"id":2}"#[..], br#"{"id":3}"#],
            "{}",
            entry[..entry.len().min(40)].escape_ascii()
        );
        assert_eq!(
            raw.salvage_field("next"),
            Some(&br#""p""#[..]),
            "{}",
            entry[..entry.len().min(40)].escape_ascii()
        );
    }
}

/// A damaged page is read again in parts, which must not take quadratic time.
#[test]
fn salvage_effort_is_bounded() {
    for unit in [&b"{"[..], b",{", b"[", b"{\"a\":[", b",{\"", b"},{}"] {
        let page = [br#"{"items":["#, &unit.repeat((4 << 20) / unit.len())[..]].concat();
        let began = Instant::now();
        let raw = split(&page);
        let _found = raw.salvage(|_| false);
        assert_eq!(raw.salvage_field("next"), None);
        assert!(began.elapsed() < Duration::from_secs(10), "{:?}", began.elapsed());
    }
}

#[test]
fn fields_of_keeps_fields_beside_an_odd_one() {
    let fields = RawEntries::fields_of(br#"{"a":1e999,"b":{"c":[[]]},"d":"\ud800","e":2}"#);
    let names: Vec<&[u8]> = fields.iter().map(|(name, _)| *name).collect();
    assert_eq!(names, [b"a", b"b", b"d", b"e"]);
    assert_eq!(fields[3].1, b"2");
    assert!(RawEntries::fields_of(b"[1]").is_empty());
}
