//! Changes of a fault file take effect; an invalid file means no fault.

#![allow(clippy::unwrap_used)]

use std::path::Path;
use std::time::Duration;

use tempfile::tempdir;
use wheel_seams::{ClockFault, FaultFile};

/// Longer than the time between two reads of the file.
const READ_PAUSE: Duration = Duration::from_millis(40);

fn refresh(file: &mut FaultFile<ClockFault>) -> ClockFault {
    std::thread::sleep(READ_PAUSE);
    *file.refresh()
}

fn write(path: &Path, line: &str) {
    std::fs::write(path, line).unwrap();
}

#[test]
fn refresh_follows_the_file() {
    let folder = tempdir().unwrap();
    let path = folder.path().join("clock");
    let mut file = FaultFile::open(path.clone());
    assert_eq!(refresh(&mut file), ClockFault::default());
    write(&path, "day_shift_ms=-1500\n");
    assert_eq!(refresh(&mut file), ClockFault { day_shift_ms: -1500, ..ClockFault::default() });
    let first = file.changed_at();
    refresh(&mut file);
    assert_eq!(file.changed_at(), first);
    write(&path, "boot_ahead_ms=7 day_shift_ms=0");
    assert_eq!(refresh(&mut file).boot_ahead, Duration::from_millis(7));
    assert!(file.changed_at() > first);
    std::fs::remove_file(&path).unwrap();
    assert_eq!(refresh(&mut file), ClockFault::default());
}

#[test]
fn refresh_same_line_written_again_is_a_change() {
    let folder = tempdir().unwrap();
    let path = folder.path().join("clock");
    let mut file = FaultFile::open(path.clone());
    write(&path, "boot_ahead_ms=7");
    refresh(&mut file);
    let first = file.changed_at();
    write(&path, "boot_ahead_ms=7");
    refresh(&mut file);
    assert!(file.changed_at() > first);
}

#[test]
fn refresh_unreadable_line_is_no_fault() {
    let folder = tempdir().unwrap();
    let path = folder.path().join("clock");
    let mut file = FaultFile::open(path.clone());
    for line in ["boot_ahead_ms", "boot_ahead_ms=soon", "boot_ahead_ms=5 other=1"] {
        write(&path, "boot_ahead_ms=5");
        assert_eq!(refresh(&mut file).boot_ahead, Duration::from_millis(5));
        write(&path, line);
        assert_eq!(refresh(&mut file), ClockFault::default(), "{line}");
    }
    std::fs::remove_file(&path).unwrap();
    std::fs::create_dir(&path).unwrap();
    assert_eq!(refresh(&mut file), ClockFault::default());
}
