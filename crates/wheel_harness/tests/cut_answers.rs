//! Upstreams of whole processes that stop anywhere in their answers, or answer with something else: a
//! caller gets the whole answer, or one that doesn't look complete.

#![allow(clippy::expect_used)]

mod support;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use serde_json::json;
use support::{LIMIT, assert_whole, generate, neighbour, owner_of, preloaded};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use wheel_harness::{ClusterManifest, ClusterSettings, LocalCluster};

const MINIMAL: &str = include_str!("../../../examples/minimal.toml");
const HEAD: &str = "HTTP/1.1 200 OK\r\nwheel-request-id: ID\r\n";

/// Answers that are still to be given instead of the upstream's own.
type Script = Arc<Mutex<VecDeque<String>>>;

/// Stands between the system and one of its upstreams, and answers callers' requests by a script as
/// long as that has answers. It closes the connection after each.
struct ScriptedUpstream {
    address: SocketAddr,
    script: Script,
}

impl ScriptedUpstream {
    async fn bind(target: SocketAddr, marker: &'static str) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let script = Script::default();
        let answers = Arc::clone(&script);
        tokio::spawn(async move {
            while let Ok((inbound, _)) = listener.accept().await {
                tokio::spawn(serve(inbound, target, marker, Arc::clone(&answers)));
            }
        });
        Self { address, script }
    }

    /// Answers the next requests with `answers`, in which `ID` stands for the request's id.
    fn answer_with(&self, answers: impl IntoIterator<Item = String>) {
        self.script.lock().expect("a script").extend(answers);
    }
}

/// Passes one connection on to `target`, except for requests that begin with `marker`.
async fn serve(inbound: TcpStream, target: SocketAddr, marker: &'static str, script: Script) {
    let Ok(outbound) = TcpStream::connect(target).await else { return };
    let (mut requests, answers) = inbound.into_split();
    let (mut from_target, mut to_target) = outbound.into_split();
    let answers = Arc::new(tokio::sync::Mutex::new(answers));
    let passing = tokio::spawn({
        let answers = Arc::clone(&answers);
        async move {
            let mut piece = vec![0; 65_536];
            while let Ok(read @ 1..) = from_target.read(&mut piece).await {
                if answers.lock().await.write_all(&piece[..read]).await.is_err() {
                    return;
                }
            }
            let _ = answers.lock().await.shutdown().await;
        }
    });
    let mut piece = vec![0; 65_536];
    // The tests' small requests arrive in one piece.
    while let Ok(read @ 1..) = requests.read(&mut piece).await {
        let answer = match piece.starts_with(marker.as_bytes()) {
            true => script.lock().expect("a script").pop_front(),
            false => None,
        };
        if let Some(answer) = answer {
            let request = String::from_utf8_lossy(&piece[..read]).into_owned();
            write_answer(&mut *answers.lock().await, &request, &answer).await;
            break;
        }
        if to_target.write_all(&piece[..read]).await.is_err() {
            break;
        }
    }
    passing.abort();
}

async fn write_answer(stream: &mut OwnedWriteHalf, request: &str, answer: &str) {
    let mut lines = request.lines();
    let id = lines.find_map(|line| line.strip_prefix("wheel-request-id: ")).unwrap_or_default();
    let _ = stream.write_all(answer.replace("ID", id).as_bytes()).await;
    let _ = stream.shutdown().await;
}

/// A running system with scripts for its upstream `name`.
async fn start(
    name: &str,
    marker: &'static str,
    settings: ClusterSettings,
) -> (LocalCluster, ScriptedUpstream) {
    let manifest = ClusterManifest::parse(MINIMAL).expect("a valid manifest");
    let mut cluster = LocalCluster::start(&manifest, &settings).await.expect("a started system");
    let target = cluster.addresses[name];
    let scripted = ScriptedUpstream::bind(target, marker).await;
    cluster.source = cluster.source.replacen(&target.to_string(), &scripted.address.to_string(), 1);
    cluster.apply_first(LIMIT).await.expect("a manifest in force");
    (cluster, scripted)
}

/// A system whose only engine with the model is scripted, and where callers are served: at its owner,
/// and at an instance that relays.
async fn start_engine() -> (LocalCluster, ScriptedUpstream, [SocketAddr; 2]) {
    let settings = preloaded(&["engine-a=guide"], "2000");
    let (cluster, engine) = start("engine-a", "POST /v1/", settings).await;
    let seen_at = cluster.instances[0].ports.operators;
    let owner = owner_of(&cluster, seen_at, "engine-a").await;
    let relaying = neighbour(&cluster, owner);
    let at = [owner, relaying].map(|index| cluster.instances[index].ports.callers);
    (cluster, engine, at)
}

/// One event with the token `index` of the request.
fn token(index: u64, is_last: bool) -> String {
    let choice = json!({ "index": 0, "delta": { "content": " w" },
        "finish_reason": if is_last { json!("length") } else { json!(null) } });
    let event = json!({ "id": "ID", "choices": [choice], "wheel": { "index": index } });
    format!("data: {event}\n\n")
}

/// An answer whose body ends with its connection.
fn closed(body: &str) -> String {
    format!("{HEAD}content-type: text/event-stream\r\n\r\n{body}")
}

/// The owner of the engine serves the caller itself, so that both runs need a slot of one queue.
#[tokio::test(flavor = "multi_thread")]
async fn stream_broken_at_its_only_engine_goes_on_there() {
    let (cluster, engine, at) = start_engine().await;
    for at in at {
        engine.answer_with([closed(&(token(0, false) + &token(1, false)))]);
        let reply = generate(&cluster.client, at, "guide", 5, 20_000).await;
        assert_whole(&reply, 5);
    }
}
