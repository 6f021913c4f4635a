//! A fault file shifts the time of day in both directions and `CLOCK_BOOTTIME` only forward.

use std::process::Command;
use std::time::{Duration, SystemTime};

use tempfile::tempdir;
use wheel_seams::{FaultyClock, boot_now, time_of_day};
use wheel_types::MonotonicTime;

/// Longer than the time between two reads of the file.
const READ_PAUSE: Duration = Duration::from_millis(40);

#[test]
fn shift_time_of_day_works_in_both_directions() {
    let folder = tempdir().unwrap();
    let path = folder.path().join("clock");
    let mut clock = FaultyClock::open(path.clone());
    let now = SystemTime::UNIX_EPOCH + Duration::from_secs(1_000);
    assert_eq!(clock.shift_time_of_day(now), now);
    for (line, seconds) in [("day_shift_ms=5000", 1_005), ("day_shift_ms=-5000", 995), ("", 1_000)]
    {
        std::fs::write(&path, line).unwrap();
        std::thread::sleep(READ_PAUSE);
        let shifted = SystemTime::UNIX_EPOCH + Duration::from_secs(seconds);
        assert_eq!(clock.shift_time_of_day(now), shifted, "{line}");
    }
    std::fs::write(&path, "day_shift_ms=-9000000000000000").unwrap();
    std::thread::sleep(READ_PAUSE);
    clock.shift_time_of_day(now);
}

#[test]
fn shift_boot_time_never_goes_back() {
    let folder = tempdir().unwrap();
    let path = folder.path().join("clock");
    let mut clock = FaultyClock::open(path.clone());
    let now = MonotonicTime::from_millis(9_000);
    assert_eq!(clock.shift_boot_time(now), now);
    for (ahead, expected) in [(4_000, 13_000), (1_000, 13_000), (6_000, 15_000)] {
        std::fs::write(&path, format!("boot_ahead_ms={ahead}")).unwrap();
        std::thread::sleep(READ_PAUSE);
        assert_eq!(clock.shift_boot_time(now), MonotonicTime::from_millis(expected));
    }
}

/// Runs in a child process, since a process reads its environment once.
#[test]
fn process_clocks_follow_the_named_file() {
    const CHILD: &str = "WHEEL_SEAMS_TEST_CHILD";
    const VARIABLE: &str = "WISTERIAWHEEL_CLOCK_FAULTS";
    const JUMP: Duration = Duration::from_secs(100);
    if std::env::var_os(CHILD).is_some() {
        let path = std::env::var_os(VARIABLE).unwrap();
        let (day, boot) = (time_of_day(), boot_now());
        std::fs::write(path, "day_shift_ms=-100000 boot_ahead_ms=100000").unwrap();
        std::thread::sleep(READ_PAUSE);
        assert!(time_of_day() < day - JUMP / 2);
        assert!(boot_now() - boot > JUMP);
        return;
    }
    let folder = tempdir().unwrap();
    let name = "process_clocks_follow_the_named_file";
    let mut child = Command::new(std::env::current_exe().unwrap());
    child.args([name, "--exact"]).env(CHILD, "1").env(VARIABLE, folder.path().join("clock"));
    assert!(child.status().unwrap().success());
}
