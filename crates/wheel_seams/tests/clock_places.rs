//! Lists the sources that read the time of day: none for durable or replicated state.

#![allow(clippy::unwrap_used)]

use std::path::{Path, PathBuf};

/// Sources that read the clocks of the machine directly.
const CLOCK_READERS: [&str; 4] = [
    "wheel_seams/src/system_clock.rs",
    // For incarnation numbers, the first sequence number of reports, and the times of log records.
    "wheel_daemon/src/running_daemon.rs",
    "wheel_serving/src/engine_watch.rs",
    "wheel_serving/src/decision_log.rs",
];

/// Sources that read the time of day: for weekly demand and for turns at the weight store.
const TIME_OF_DAY_READERS: [&str; 2] =
    ["wheel_director/src/centre_director.rs", "wheel_director/src/placement_round.rs"];

/// Crates that run beside the system or replay it.
const OTHER_CRATES: [&str; 4] = ["wheel_bench", "wheel_fakes", "wheel_harness", "wheel_soak"];

fn crates_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap().to_path_buf()
}

/// The sources of the system that contain one of `words`, as paths relative to `crates/`.
fn sources_with(words: &[&str]) -> Vec<String> {
    let root = crates_folder();
    let mut folders = vec![root.join("../platform/src")];
    for entry in std::fs::read_dir(&root).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_name().unwrap().to_str().unwrap().to_owned();
        folders.extend((!OTHER_CRATES.contains(&&*name)).then(|| path.join("src")));
    }
    let mut found = Vec::new();
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(&folder).into_iter().flatten() {
            let path = entry.unwrap().path();
            if path.is_dir() {
                folders.push(path);
                continue;
            }
            let text = std::fs::read_to_string(&path).unwrap();
            if words.iter().any(|word| text.contains(word)) {
                found.push(path.strip_prefix(&root).unwrap_or(&path).display().to_string());
            }
        }
    }
    found.sort();
    found
}

fn assert_only(found: &[String], allowed: &[&str]) {
    for source in found {
        assert!(allowed.contains(&source.as_str()), "{source} reads a clock that may jump");
    }
}

#[test]
fn machine_clocks_are_read_in_one_place() {
    let words = ["SystemTime::now", "Timestamp::now", "Zoned::now", "clock_gettime"];
    let found = sources_with(&words);
    assert!(found.iter().any(|source| source == CLOCK_READERS[0]), "{found:?}");
    assert_only(&found, &CLOCK_READERS);
}

#[test]
fn time_of_day_is_read_for_nothing_durable_or_replicated() {
    let found = sources_with(&["time_of_day()"]);
    let own = ["wheel_seams/src/system_clock.rs", "wheel_seams/src/lib.rs"];
    assert_only(&found, &[&own[..], &TIME_OF_DAY_READERS].concat());
}
