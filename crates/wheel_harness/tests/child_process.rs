//! Signals to the processes of a test.

#![allow(clippy::expect_used)]

use std::time::Duration;

use wheel_harness::{ChildProcess, ProcessSignal};

const ROUNDS: usize = 100;

/// The states of a process's threads, `T` for a stopped one.
fn thread_states(id: u32) -> Vec<String> {
    let threads = std::fs::read_dir(format!("/proc/{id}/task")).expect("the threads");
    let stats = threads.map(|thread| {
        std::fs::read_to_string(thread.expect("a thread").path().join("stat")).expect("its state")
    });
    // The name, in parentheses, may contain spaces.
    let state = |stat: String| stat.rsplit(") ").next()?.split(' ').next().map(str::to_owned);
    stats.filter_map(state).collect()
}

/// A test that stops processes goes on as if they did nothing more. The signal alone stops them
/// only once one of their threads has run, until which the others may still answer.
#[test]
fn signal_stop_returns_once_all_threads_are_stopped() {
    let folder = tempfile::tempdir().expect("a folder");
    let flags = ["engine", "--listen", "127.0.0.1:0"].map(str::to_owned);
    let child = ChildProcess::spawn("wheel_fake", "engine", &flags, &folder.path().join("log"));
    let mut child = child.expect("an engine");
    child.read_listening().expect("its address");
    for round in 0..ROUNDS {
        child.signal(ProcessSignal::Stop);
        let states = thread_states(child.id());
        assert!(states.iter().all(|state| state == "T"), "round {round}: {states:?}");
        child.signal(ProcessSignal::Continue);
        std::thread::sleep(Duration::from_millis(5));
    }
}
