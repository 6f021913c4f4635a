//! One entry of the platform's list that can't be read must not hide the others.

#![allow(clippy::expect_used)]

use wheel_daemon::LeavingList;
use wheel_types::MonotonicTime;

fn seconds(count: u64) -> MonotonicTime {
    MonotonicTime::from_millis(1_000 * count)
}

fn entry(name: &str, state: &str) -> String {
    format!(r#"{{"name":"{name}","kind":"upstream","state":"{state}"}}"#)
}

fn read(list: &mut LeavingList, second: u64, entries: &[&[u8]]) -> (Vec<String>, usize) {
    let body = [&b"["[..], &entries.join(&b','), b"]"].concat();
    let odd = list.read(seconds(second), &body).expect("the list can be read");
    let mut names: Vec<String> =
        list.upstreams().iter().map(std::string::ToString::to_string).collect();
    names.sort();
    (names, odd.len())
}

#[test]
fn read_odd_entry_hides_no_other() {
    let deep = [b"[".repeat(100_000), b"]".repeat(100_000)].concat();
    let odd: [&[u8]; 8] = [
        &deep,
        b"1e999",
        br#"{"name":"a","kind":"upstream","state":"leaving","since_ms":1e999}"#,
        br#"{"name":"a","kind":"upstream","state":"leaving","note":"\ud800"}"#,
        br#"{"name":7,"kind":"upstream","state":"leaving"}"#,
        br#"{"kind":"upstream","state":"leaving"}"#,
        b"{\"name\":\"\xff\",\"kind\":\"upstream\",\"state\":\"leaving\"}",
        br#"{"name":"a","note":"no end}"#,
    ];
    for odd in odd {
        let mut list = LeavingList::default();
        let (first, second) = (entry("x", "live"), entry("y", "leaving"));
        let (names, count) = read(&mut list, 0, &[first.as_bytes(), odd, second.as_bytes()]);
        assert_eq!((names, count), (vec!["y".to_owned()], 1), "{}", odd[..1].escape_ascii());
    }
    for body in [&b"{}"[..], b"no list", b""] {
        assert!(LeavingList::default().read(seconds(0), body).is_err());
    }
}

#[test]
fn read_unreadable_entry_still_leaves() {
    let mut list = LeavingList::default();
    let (leaving, live) = (entry("x", "leaving"), entry("x", "live"));
    let named = br#"{"name":"x","kind":"upstream","state":7}"#;
    assert_eq!(read(&mut list, 0, &[leaving.as_bytes()]).0, ["x"]);
    for second in [1, 20, 100] {
        assert_eq!(read(&mut list, second, &[named]).0, ["x"]);
    }
    assert!(read(&mut list, 101, &[live.as_bytes()]).0.is_empty(), "it has started again");
    assert_eq!(read(&mut list, 102, &[leaving.as_bytes()]).0, ["x"]);
    assert_eq!(read(&mut list, 103, &[b"1e999"]).0, ["x"]);
    assert_eq!(read(&mut list, 130, &[b"1e999"]).0, ["x"]);
    assert!(read(&mut list, 134, &[b"1e999"]).0.is_empty(), "kept for 30 s");
}
