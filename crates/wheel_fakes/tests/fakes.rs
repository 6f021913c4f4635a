//! The behaviour of the fakes, as processes, that other crates' tests and the quickstart rely on.

#![allow(clippy::expect_used)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// A fake in its own process, killed when it is dropped.
struct FakeProcess {
    child: Child,
    address: SocketAddr,
}

impl FakeProcess {
    fn spawn(flags: &[&str]) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_wheel_fake"));
        let mut child = command.args(flags).stdout(Stdio::piped()).spawn().expect("spawn");
        let mut line = String::new();
        let stdout = child.stdout.take().expect("stdout");
        BufReader::new(stdout).read_line(&mut line).expect("line");
        let address = line.trim().strip_prefix("listening ").expect("listening");
        Self { address: address.parse().expect("address"), child }
    }

    fn request(&self, method: &str, path: &str, body: &str) -> String {
        let mut stream = TcpStream::connect(self.address).expect("connect");
        let length = body.len();
        write!(
            stream,
            "{method} {path} HTTP/1.1\r\nhost: fake\r\nconnection: close\r\n\
             content-length: {length}\r\n\r\n{body}"
        )
        .expect("write");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("read");
        answer.split_once("\r\n\r\n").expect("head").1.to_owned()
    }
}

impl Drop for FakeProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn list_process_shows_changes_after_its_lag() {
    let list = FakeProcess::spawn(&["list", "--lag-ms", "300", "--entries", "[]"]);
    let entry = r#"[{"name":"e","kind":"instance","data_centre":"kk","address":"127.0.0.1:1","state":"live","since_ms":0}]"#;
    let started = Instant::now();
    list.request("PUT", "/instances", entry);
    while list.request("GET", "/instances", "") != entry {
        std::thread::sleep(Duration::from_millis(10));
    }
    assert!(started.elapsed() >= Duration::from_millis(300));
}

#[test]
fn service_process_shows_faults_and_counts_runs() {
    let service = FakeProcess::spawn(&["service"]);
    service.request("POST", "/bookings", "");
    service.request("PUT", "/fake/faults", r#"{"refuse":true}"#);
    assert_eq!(service.request("POST", "/bookings", ""), "full");
    let counters = service.request("GET", "/fake/counters", "");
    assert_eq!(counters, r#"{"by_key":{"":1},"by_request":{"":1},"calls_refused":1}"#);
}

#[test]
fn engine_process_loads_at_the_rate_of_the_store() {
    let store = FakeProcess::spawn(&["store", "--full-speed-loads", "1", "--load-ms", "100"]);
    let store_address = store.address.to_string();
    let engine = FakeProcess::spawn(&["engine", "--load-ms", "0", "--store", &store_address]);
    let state: serde_json::Value =
        serde_json::from_str(&engine.request("GET", "/engine/v1/state", "")).expect("json");
    let incarnation = &state["incarnation"];
    let started = Instant::now();
    for model in ["a", "b"] {
        let order = format!(
            r#"{{"order_id":"load-{model}","fencing_number":1,"incarnation":{incarnation},"action":"load-model","model":"{model}","version":1,"memory_mib":1}}"#
        );
        let answer = engine.request("POST", "/engine/v1/orders", &order);
        assert!(answer.contains(r#""accepted":true"#), "{answer}");
    }
    while engine.request("GET", "/engine/v1/state", "").matches(r#""loaded""#).count() < 2 {
        std::thread::sleep(Duration::from_millis(10));
    }
    assert!(
        started.elapsed() >= Duration::from_millis(200),
        "the second load must start 100 ms later"
    );
}
