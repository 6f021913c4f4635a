//! An upstream whose answers a test gives, in a running system.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use wheel_harness::{ClusterManifest, ClusterSettings, LocalCluster};

use super::{LIMIT, MINIMAL};

/// The answers that are still to be given instead of the upstream's own, and the requests that were
/// answered so.
#[derive(Default)]
struct AnswerScript {
    answers: VecDeque<String>,
    requests: Vec<String>,
}

type SharedScript = Arc<Mutex<AnswerScript>>;

/// Stands between the system and one of its upstreams, and answers callers' requests by a script as
/// long as that has answers. It closes the connection after each.
pub(crate) struct ScriptedUpstream {
    pub(crate) address: SocketAddr,
    script: SharedScript,
}

impl ScriptedUpstream {
    pub(crate) async fn bind(target: SocketAddr, marker: &'static str) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let script = SharedScript::default();
        let answers = Arc::clone(&script);
        tokio::spawn(async move {
            while let Ok((inbound, _)) = listener.accept().await {
                tokio::spawn(serve(inbound, target, marker, Arc::clone(&answers)));
            }
        });
        Self { address, script }
    }

    /// Answers the next requests with `answers`, in which `ID` stands for the request's id.
    pub(crate) fn answer_with(&self, answers: impl IntoIterator<Item = String>) {
        self.script.lock().expect("a script").answers.extend(answers);
    }

    pub(crate) fn is_used_up(&self) -> bool {
        self.script.lock().expect("a script").answers.is_empty()
    }

    /// Drops the answers that are still to be given.
    pub(crate) fn forget_script(&self) {
        self.script.lock().expect("a script").answers.clear();
    }

    /// The requests that were answered by the script.
    pub(crate) fn requests(&self) -> Vec<String> {
        self.script.lock().expect("a script").requests.clone()
    }
}

/// Passes one connection on to `target`, except for requests that begin with `marker`.
async fn serve(inbound: TcpStream, target: SocketAddr, marker: &'static str, script: SharedScript) {
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
            true => script.lock().expect("a script").answers.pop_front(),
            false => None,
        };
        if let Some(answer) = answer {
            let request = String::from_utf8_lossy(&piece[..read]).into_owned();
            script.lock().expect("a script").requests.push(request.clone());
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
pub(crate) async fn start_scripted(
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
