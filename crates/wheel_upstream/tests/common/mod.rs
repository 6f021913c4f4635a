//! Helpers shared by the tests of this crate.
#![allow(dead_code, unreachable_pub, clippy::expect_used)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderValue, Method};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use wheel_fakes::{FakeEngine, FakeEngineSettings, FakeService, token_text};
use wheel_types::{
    EngineCall, EngineOrder, FencingNumber, IncarnationId, OrderAction, RequestId, RequestRank,
};
use wheel_upstream::{
    CallFailure, CallTimeouts, EngineClient, EngineSettings, GenerateCall, GeneratePath,
    OrderPermit, ServiceCall, ServiceClient, ServiceSettings, StreamEvent, TokenStream,
};

pub const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Long enough for any step that is expected to end.
pub const LONG: Duration = Duration::from_secs(20);
/// Short enough to wait for a step that is expected to stay silent.
pub const SHORT: Duration = Duration::from_millis(300);

pub fn timeouts() -> CallTimeouts {
    CallTimeouts::default().connect(LONG).first_byte(LONG).progress(LONG)
}

pub async fn engine() -> (FakeEngine, EngineClient) {
    engine_with(FakeEngineSettings::default()).await
}

pub async fn engine_with(settings: FakeEngineSettings) -> (FakeEngine, EngineClient) {
    let engine = FakeEngine::bind(settings).await.expect("bind");
    engine.preload("m", 10);
    let client = engine_client(engine.local_addr());
    (engine, client)
}

pub fn engine_client(address: SocketAddr) -> EngineClient {
    let settings = EngineSettings::new("engine".into(), address);
    EngineClient::open(settings.timeouts(timeouts()))
}

pub async fn service() -> (FakeService, ServiceClient) {
    let service = FakeService::bind(ANY_PORT).await.expect("bind");
    let client = service_client(service.local_addr());
    (service, client)
}

pub fn service_client(address: SocketAddr) -> ServiceClient {
    ServiceClient::open(ServiceSettings::new("service".into(), address))
}

pub fn generate(id: &str, tokens: u64) -> GenerateCall {
    let body = format!(r#"{{"model":"m","stream":true,"max_tokens":{tokens}}}"#);
    let request_id = RequestId::new(id);
    let call = EngineCall { request_id, rank: RequestRank(1), resume_from: 0 };
    let path = GeneratePath::ChatCompletions;
    GenerateCall {
        call,
        path,
        headers: Default::default(),
        body: body.into(),
        timeouts: timeouts(),
    }
}

pub fn booking(id: &str) -> ServiceCall {
    ServiceCall {
        request_id: RequestId::new(id),
        method: Method::POST,
        path: PathAndQuery::from_static("/bookings?seats=2"),
        headers: HeaderMap::new(),
        body: Bytes::from_static(b"{}"),
        idempotency_key: Some(HeaderValue::from_static("key-1")),
        idempotent: false,
        timeouts: timeouts(),
    }
}

/// Reads a stream to its end or failure; `Ok` only after the end marker.
pub async fn read_all(stream: &mut TokenStream) -> (Vec<Bytes>, Result<(), CallFailure>) {
    let mut tokens = Vec::new();
    loop {
        match stream.next().await {
            Ok(StreamEvent::Token(token)) => tokens.push(token.data),
            Ok(StreamEvent::End) => return (tokens, Ok(())),
            Err(failure) => return (tokens, Err(failure)),
        }
    }
}

/// True if `tokens` are the tokens of `call` from index `first`, each once and in order.
pub fn are_tokens(tokens: &[Bytes], call: &GenerateCall, first: u64) -> bool {
    tokens.iter().zip(first..).all(|(token, index)| {
        let text = token_text(&call.call.request_id, &call.body, index);
        std::str::from_utf8(token).is_ok_and(|token| token.contains(&format!("\"{text}\"")))
    })
}

pub fn load_order(id: &str, model: &str) -> EngineOrder {
    EngineOrder {
        order_id: RequestId::new(id),
        fencing_number: FencingNumber(7),
        incarnation: IncarnationId(1),
        action: OrderAction::LoadModel { model: model.into(), version: 1, memory_mib: 100 },
    }
}

/// A permit that a test can revoke.
#[derive(Default)]
pub struct TestPermit {
    pub revoked: AtomicBool,
}

impl OrderPermit for TestPermit {
    fn is_valid(&self) -> bool {
        !self.revoked.load(Ordering::Acquire)
    }
}

/// Waits until `check` holds.
pub async fn eventually(check: impl Fn() -> bool) {
    let waiting = async {
        while !check() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(LONG, waiting).await.expect("the condition holds in time");
}

/// Forwards bytes between clients and `target`. After `silence`, connections that were open stay open
/// without forwarding anything, while new ones work.
pub struct SilencingRelay {
    pub address: SocketAddr,
    silenced: Arc<watch::Sender<u64>>,
}

impl SilencingRelay {
    pub async fn bind(target: SocketAddr) -> Self {
        let listener = TcpListener::bind(ANY_PORT).await.expect("bind");
        let address = listener.local_addr().expect("address");
        let silenced = Arc::new(watch::Sender::new(0));
        let relay = Self { address, silenced: silenced.clone() };
        tokio::spawn(async move {
            while let Ok((inbound, _)) = listener.accept().await {
                tokio::spawn(pass(inbound, target, silenced.subscribe()));
            }
        });
        relay
    }

    pub fn silence(&self) {
        self.silenced.send_modify(|count| *count += 1);
    }
}

/// Answers the requests of each connection with scripted bytes, then closes it. `ID` in an answer
/// stands for the id of its request.
pub struct ScriptedUpstream {
    pub address: SocketAddr,
    pub requests: Arc<AtomicU64>,
}

impl ScriptedUpstream {
    pub async fn bind(answers: &[&str]) -> Self {
        let listener = TcpListener::bind(ANY_PORT).await.expect("bind");
        let address = listener.local_addr().expect("address");
        let answers: Vec<String> = answers.iter().map(|answer| (*answer).to_owned()).collect();
        let requests = Arc::<AtomicU64>::default();
        let upstream = Self { address, requests: requests.clone() };
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                for answer in &answers {
                    let Some(id) = read_id(&mut stream).await else { break };
                    requests.fetch_add(1, Ordering::Relaxed);
                    stream.write_all(answer.replace("ID", &id).as_bytes()).await.expect("write");
                }
            }
        });
        upstream
    }

    pub fn requests(&self) -> u64 {
        self.requests.load(Ordering::Relaxed)
    }
}

/// Answers the requests of all connections in order, each after it has written the last answer of
/// the connection once more. `ID` in an answer stands for the id of its request; one that names
/// `connection: close` ends its connection.
pub struct RepeatingUpstream {
    pub address: SocketAddr,
    requests: Arc<AtomicU64>,
}

impl RepeatingUpstream {
    pub async fn bind(answers: &[&'static str]) -> Self {
        let listener = TcpListener::bind(ANY_PORT).await.expect("bind");
        let address = listener.local_addr().expect("address");
        let (requests, answers) = (Arc::<AtomicU64>::default(), Arc::from(answers));
        let upstream = Self { address, requests: requests.clone() };
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(repeat(stream, Arc::clone(&answers), requests.clone()));
            }
        });
        upstream
    }

    pub fn requests(&self) -> u64 {
        self.requests.load(Ordering::Relaxed)
    }
}

async fn repeat(mut stream: TcpStream, answers: Arc<[&'static str]>, requests: Arc<AtomicU64>) {
    let mut earlier = String::new();
    while let Some(id) = read_id(&mut stream).await {
        let number = requests.fetch_add(1, Ordering::Relaxed) as usize;
        let answer = answers.get(number).expect("an answer for each request").replace("ID", &id);
        if stream.write_all(earlier.as_bytes()).await.is_err() {
            return;
        }
        // The earlier answer arrives alone.
        tokio::time::sleep(SHORT).await;
        if stream.write_all(answer.as_bytes()).await.is_err()
            || answer.contains("connection: close")
        {
            return;
        }
        earlier = answer;
    }
}

/// Reads a request, which arrives in one piece since it is small, and returns its id, empty if it
/// has none; `None` if the connection ends.
pub async fn read_id(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = vec![0; 65_536];
    let read = stream.read(&mut bytes).await.ok().filter(|read| *read > 0)?;
    let text = String::from_utf8_lossy(&bytes[..read]);
    let id = text.lines().find_map(|line| line.strip_prefix("wheel-request-id: "));
    Some(id.unwrap_or_default().to_owned())
}

async fn pass(mut inbound: TcpStream, target: SocketAddr, mut silenced: watch::Receiver<u64>) {
    let Ok(mut outbound) = TcpStream::connect(target).await else { return };
    tokio::select! {
        biased;
        _ = silenced.changed() => std::future::pending().await,
        _ = tokio::io::copy_bidirectional(&mut inbound, &mut outbound) => {}
    }
}
