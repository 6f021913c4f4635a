//! Ports for the processes of tests, while other threads and other test programs start processes.

use std::collections::HashSet;
use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use wheel_harness::{FreePorts, HarnessError, PortBlock};

/// Number of threads that start processes meanwhile.
const STARTERS: usize = 6;
/// Time until a block is free again after its owner has ended.
const RELEASE_LIMIT: Duration = Duration::from_secs(5);
/// Number of ports that are taken and used at once.
const PORTS: usize = 2_000;

// Guards against a port that can't be listened on: a child forked by another thread has all open
// sockets of the test until it executes its program.
#[test]
fn take_beside_starting_processes_is_free_at_once() {
    let is_done = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for _ in 0..STARTERS {
            scope.spawn(|| {
                while !is_done.load(Ordering::Relaxed) {
                    assert!(Command::new("true").status().expect("a process").success());
                }
            });
        }
        let listen = |_| TcpListener::bind(FreePorts.take().expect("a free port"));
        let failed = (0..PORTS).map(listen).filter(Result::is_err).count();
        is_done.store(true, Ordering::Relaxed);
        assert_eq!(failed, 0, "of {PORTS} ports");
    });
}

// Guards against two test programs that both find a port free before either uses it.
#[test]
fn claim_of_two_owners_shares_no_port() {
    let folder = tempfile::tempdir().expect("a folder");
    let take_all = |mut block: PortBlock| {
        let ports: HashSet<u16> = std::iter::from_fn(|| block.take().ok()).collect();
        (block, ports)
    };
    let claim = || PortBlock::claim(folder.path()).expect("a block");
    let (first, ports) = take_all(claim());
    let (_second, others) = take_all(claim());
    assert!(!ports.is_empty() && ports.is_disjoint(&others), "{ports:?} {others:?}");

    // A child that another test has just forked keeps the lock until it executes its program.
    drop(first);
    let began = Instant::now();
    while take_all(claim()).1 != ports {
        assert!(began.elapsed() < RELEASE_LIMIT, "a block whose owner has ended isn't used again");
    }
}

// Guards against a test that waits or takes a foreign port when none is left.
#[test]
fn claim_without_a_free_block_is_refused() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut blocks = Vec::new();
    let refusal = loop {
        match PortBlock::claim(folder.path()) {
            Ok(block) => blocks.push(block),
            Err(refusal) => break refusal,
        }
    };
    assert!(matches!(refusal, HarnessError::NoPort), "{refusal}");
    assert!(blocks.len() > 100);
}
