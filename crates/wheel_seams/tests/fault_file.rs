//! A fault file is followed while it changes; what can't be read is no fault.

#![allow(clippy::unwrap_used)]

use std::path::Path;
use std::time::Duration;

use tempfile::tempdir;
use wheel_seams::{ClockFault, FaultFile};

/// Longer than the time between two looks.
const LOOK_PAUSE: Duration = Duration::from_millis(40);

fn look(file: &mut FaultFile<ClockFault>) -> ClockFault {
    std::thread::sleep(LOOK_PAUSE);
    *file.look()
}

fn write(path: &Path, line: &str) {
    std::fs::write(path, line).unwrap();
}

#[test]
fn look_follows_the_file() {
    let folder = tempdir().unwrap();
    let path = folder.path().join("clock");
    let mut file = FaultFile::open(path.clone());
    assert_eq!(look(&mut file), ClockFault::default());
    write(&path, "day_shift_ms=-1500\n");
    assert_eq!(look(&mut file), ClockFault { day_shift_ms: -1500, ..ClockFault::default() });
    let first = file.since();
    look(&mut file);
    assert_eq!(file.since(), first);
    write(&path, "boot_ahead_ms=7 day_shift_ms=0");
    assert_eq!(look(&mut file).boot_ahead, Duration::from_millis(7));
    assert!(file.since() > first);
    std::fs::remove_file(&path).unwrap();
    assert_eq!(look(&mut file), ClockFault::default());
}

#[test]
fn look_same_line_written_again_counts_as_new() {
    let folder = tempdir().unwrap();
    let path = folder.path().join("clock");
    let mut file = FaultFile::open(path.clone());
    write(&path, "boot_ahead_ms=7");
    look(&mut file);
    let first = file.since();
    write(&path, "boot_ahead_ms=7");
    look(&mut file);
    assert!(file.since() > first);
}

#[test]
fn look_unreadable_line_is_no_fault() {
    let folder = tempdir().unwrap();
    let path = folder.path().join("clock");
    let mut file = FaultFile::open(path.clone());
    for line in ["boot_ahead_ms", "boot_ahead_ms=soon", "boot_ahead_ms=5 other=1"] {
        write(&path, "boot_ahead_ms=5");
        assert_eq!(look(&mut file).boot_ahead, Duration::from_millis(5));
        write(&path, line);
        assert_eq!(look(&mut file), ClockFault::default(), "{line}");
    }
    std::fs::remove_file(&path).unwrap();
    std::fs::create_dir(&path).unwrap();
    assert_eq!(look(&mut file), ClockFault::default());
}
