//! A stub of the admin server, and runs of the tool against it.

#![allow(clippy::unwrap_used)]

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::process::Output;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::process::Command;

/// One received request.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct ReceivedRequest {
    pub(crate) line: String,
    pub(crate) base: Option<String>,
    pub(crate) key: Option<String>,
    pub(crate) authorization: Option<String>,
    pub(crate) body: String,
}

/// An answer that the server sends instead of the regular one.
#[derive(Clone, Copy, Debug)]
pub(crate) enum InjectedAnswer {
    /// The request is executed, and the connection is closed without an answer.
    Lost,
    /// The status and the body of the answer; the request isn't executed.
    Status(u16, &'static str),
}

/// The state of a server: its manifest, the known idempotency keys and the answers to inject.
#[derive(Default)]
pub(crate) struct AdminState {
    pub(crate) revision: u64,
    pub(crate) manifest: String,
    pub(crate) keys: HashMap<String, u64>,
    /// Answers to the next requests other than GET, in order.
    pub(crate) injected: Vec<InjectedAnswer>,
    /// Whether the status lists an unreachable instance.
    pub(crate) has_unreachable: bool,
    /// How many more reads of the status show the last instance one revision behind.
    pub(crate) lagging_polls: usize,
    pub(crate) requests: Vec<ReceivedRequest>,
}

/// A server on a free port of the loopback address.
pub(crate) struct TestAdmin {
    pub(crate) address: SocketAddr,
    pub(crate) state: Arc<Mutex<AdminState>>,
}

impl TestAdmin {
    pub(crate) async fn bind(state: AdminState) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(Mutex::new(state));
        let shared = state.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let state = shared.clone();
                let service = service_fn(move |request| answer(state.clone(), request));
                tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
            }
        });
        Self { address, state }
    }

    /// Runs the tool against this server.
    pub(crate) async fn run(&self, arguments: &[&str]) -> ToolRun {
        run_tool(&self.address.to_string(), arguments).await
    }

    pub(crate) fn requests(&self) -> Vec<ReceivedRequest> {
        self.state.lock().unwrap().requests.clone()
    }

    /// The received requests that apply a manifest.
    pub(crate) fn puts(&self) -> Vec<ReceivedRequest> {
        self.requests().into_iter().filter(|request| request.line.starts_with("PUT")).collect()
    }
}

/// The exit code and output of one run of the tool.
#[derive(Debug)]
pub(crate) struct ToolRun {
    pub(crate) code: i32,
    pub(crate) out: String,
    pub(crate) err: String,
}

pub(crate) async fn run_tool(endpoint: &str, arguments: &[&str]) -> ToolRun {
    let mut command = Command::new(env!("CARGO_BIN_EXE_wisteriactl"));
    command.env_clear().env("WISTERIAWHEEL_ENDPOINT", endpoint).args(arguments);
    let Output { status, stdout, stderr } = command.output().await.unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    ToolRun { code: status.code().unwrap(), out: text(stdout), err: text(stderr) }
}

async fn answer(
    state: Arc<Mutex<AdminState>>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, std::io::Error> {
    let (parts, body) = request.into_parts();
    let header = |name| parts.headers.get(name).map(|value| value.to_str().unwrap().to_owned());
    let received = ReceivedRequest {
        line: format!("{} {}", parts.method, parts.uri),
        base: header("if-match"),
        key: header("idempotency-key"),
        authorization: header("authorization"),
        body: String::from_utf8(body.collect().await.unwrap().to_bytes().to_vec()).unwrap(),
    };
    let mut state = state.lock().unwrap();
    state.requests.push(received.clone());
    let injected = if state.injected.is_empty() || parts.method == "GET" {
        None
    } else {
        Some(state.injected.remove(0))
    };
    match injected {
        Some(InjectedAnswer::Status(status, body)) => {
            let builder = Response::builder().status(status).header("retry-after", "0");
            Ok(builder.body(Full::from(body)).unwrap())
        }
        Some(InjectedAnswer::Lost) => {
            let _lost = state.execute(&received);
            Err(std::io::Error::other("injected: connection closed without an answer"))
        }
        None => Ok(state.execute(&received).unwrap()),
    }
}

impl AdminState {
    fn execute(&mut self, request: &ReceivedRequest) -> Result<Response<Full<Bytes>>, Infallible> {
        let (status, body) = match request.line.as_str() {
            "GET /admin/v1/text" => (StatusCode::OK, self.manifest.clone()),
            "PUT /admin/v1/text" => self.put_manifest(request),
            "GET /admin/v1/status" => (StatusCode::OK, self.status()),
            line => (StatusCode::OK, format!("{{\"did\":\"{line}\"}}")),
        };
        let builder = Response::builder().status(status);
        let builder = builder.header("etag", format!("\"{}\"", self.revision));
        Ok(builder.body(Full::from(body)).unwrap())
    }

    fn put_manifest(&mut self, request: &ReceivedRequest) -> (StatusCode, String) {
        let key = request.key.clone().unwrap();
        let known = self.keys.get(&key).copied();
        let is_current = request.base == Some(format!("\"{}\"", self.revision));
        let revision = match known {
            Some(revision) => revision,
            None if is_current => {
                self.revision += 1;
                self.manifest = request.body.clone();
                self.revision
            }
            None => {
                let body = format!("{{\"error\":\"conflict\",\"revision\":{}}}", self.revision);
                return (StatusCode::PRECONDITION_FAILED, body);
            }
        };
        self.keys.insert(key, revision);
        (StatusCode::OK, format!("{{\"revision\":{revision},\"hash\":\"abcd\"}}"))
    }

    fn status(&mut self) -> String {
        let last = if self.lagging_polls > 0 { self.revision - 1 } else { self.revision };
        self.lagging_polls = self.lagging_polls.saturating_sub(1);
        let unreachable =
            if self.has_unreachable { r#",{"name":"isan-c1","reachable":false}"# } else { "" };
        format!(
            r#"{{"instance":"isan-a1","data_centre":"isan-a","revision":{0},"role":"leader",
            "leader":"isan-a1","instances":[
            {{"name":"isan-a1","data_centre":"isan-a","revision":{0},"age_ms":3}},
            {{"name":"isan-b1","data_centre":"isan-b","revision":{last},"age_ms":40}}{unreachable}],
            "engines":[{{"name":"e1","state":"up","owner":"isan-a1",
            "models":[{{"model":"guide","version":2,"phase":"loaded"}}]}}]}}"#,
            self.revision
        )
    }
}
