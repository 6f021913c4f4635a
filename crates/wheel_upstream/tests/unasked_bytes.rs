//! Bytes, or the end of the connection, that are there before a request is written.
//!
//! They answer nothing that is still to be asked: taken for the answer, an order counts as accepted that the
//! engine never read, and a call is lost to an answer of another one. The thread of each test is blocked
//! meanwhile, so that nothing has read them when the request is about to be written.

#![allow(clippy::expect_used)]

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use common::{LONG, booking, engine_client, generate, read_all, service_client};
use http::{Method, Request, StatusCode};
use wheel_upstream::{OrderCall, OrderCallOutcome, OrderPermit, ServiceCall};

/// How long it takes until bytes have arrived for certain.
const ARRIVAL: Duration = Duration::from_millis(100);

const ANSWER: &str = "HTTP/1.1 200 OK\r\nwheel-request-id: ID\r\ncontent-length: 2\r\n\r\nok";
/// The head of a stream with [`events`], for ids of three bytes.
const STREAM: &str = "HTTP/1.1 200 OK\r\nwheel-request-id: ID\r\ncontent-length: 133\r\n\r\n";

/// An upstream in threads of its own, which hands each connection with its number to `serve`.
fn bind(serve: impl Fn(TcpStream, usize) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            let serve = Arc::clone(&serve);
            thread::spawn(move || serve(stream, number));
        }
    });
    address
}

/// Reads a small request and answers it; false if there was none.
fn answer(stream: &mut TcpStream, answer: &str) -> bool {
    let mut bytes = vec![0; 65_536];
    let read = stream.read(&mut bytes).unwrap_or(0);
    let text = String::from_utf8_lossy(&bytes[..read]);
    let id = text.lines().find_map(|line| line.strip_prefix("wheel-request-id: "));
    let answer = answer.replace("ID", id.unwrap_or_default());
    read > 0 && stream.write_all(answer.as_bytes()).is_ok()
}

/// Valid, and checked so slowly that what the upstream sends meanwhile has arrived.
struct SlowPermit;

impl OrderPermit for SlowPermit {
    fn is_valid(&self) -> bool {
        thread::sleep(ARRIVAL);
        true
    }
}

async fn send_order(address: SocketAddr) -> OrderCallOutcome {
    let permit = Arc::new(SlowPermit);
    let call = OrderCall { address, permit, connect: LONG, answer_timeout: LONG };
    let mut request = Request::new(Bytes::from_static(b"{}"));
    (*request.method_mut(), *request.uri_mut()) = (Method::POST, "/order".parse().expect("a path"));
    call.send(request).await
}

fn read_to_end(stream: &mut TcpStream) -> usize {
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    bytes.len()
}

#[tokio::test]
async fn order_answered_before_it_was_written_isnt_sent() {
    for status in ["202 Accepted", "200 OK", "409 Conflict"] {
        let (count, counts) = channel();
        let address = bind(move |mut stream, _| {
            let early = format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\n\r\n");
            stream.write_all(early.as_bytes()).expect("a sent answer");
            count.send(read_to_end(&mut stream)).expect("a test that waits");
        });
        assert_eq!(send_order(address).await, OrderCallOutcome::NotSent, "{status}");
        assert_eq!(counts.recv_timeout(LONG), Ok(0), "{status}: bytes were written");
    }
}

#[tokio::test]
async fn order_answered_after_it_was_written_counts() {
    let accepted = "HTTP/1.1 202 Accepted\r\ncontent-length: 0\r\n\r\n";
    let address = bind(move |mut stream, _| assert!(answer(&mut stream, accepted)));
    let answered = OrderCallOutcome::Answered { status: StatusCode::ACCEPTED, rest: None };
    assert_eq!(send_order(address).await, answered);
}

/// A call that may be sent over a kept connection.
fn look_up(id: &str) -> ServiceCall {
    let mut call = booking(id);
    (call.method, call.idempotent) = (Method::GET, true);
    call
}

/// Serves the first request of each connection, and then does `after` unless it is the last connection.
fn bind_leftover(first: &'static str, after: fn(&mut TcpStream)) -> (SocketAddr, Receiver<usize>) {
    let (count, counts) = channel();
    let address = bind(move |mut stream, number| {
        while answer(&mut stream, first) {
            if number == 0 {
                after(&mut stream);
                count.send(read_to_end(&mut stream)).expect("a test that waits");
                return;
            }
        }
    });
    (address, counts)
}

fn write_earlier_answer(stream: &mut TcpStream) {
    stream.write_all(ANSWER.replace("ID", "r-0").as_bytes()).expect("a sent answer");
}

fn end_connection(stream: &mut TcpStream) {
    stream.shutdown(std::net::Shutdown::Write).expect("an ended connection");
}

#[tokio::test]
async fn call_isnt_written_to_a_kept_connection_that_ended_or_bears_bytes() {
    for after in [write_earlier_answer, end_connection] {
        let (address, counts) = bind_leftover(ANSWER, after);
        let client = service_client(address);
        let mut first = client.call(look_up("r-1")).await.expect("an answer");
        first.body.collect(1_000).await.expect("a body");
        thread::sleep(ARRIVAL);
        let mut second = client.call(look_up("r-2")).await.expect("its own answer");
        assert_eq!(second.body.collect(1_000).await.expect("a body"), "ok");
        assert_eq!(counts.recv_timeout(LONG), Ok(0), "bytes were written");
        let status = client.status();
        assert_eq!((status.opened, status.foreign_answers), (2, 0));
    }
}

#[tokio::test]
async fn generate_isnt_written_to_a_kept_connection_that_ended_or_bears_bytes() {
    let stream: &'static str = Box::leak(format!("{STREAM}{}", events()).into_boxed_str());
    for after in [write_earlier_answer, end_connection] {
        let (address, counts) = bind_leftover(stream, after);
        let client = engine_client(address);
        for (id, is_second) in [("r-1", false), ("r-2", true)] {
            if is_second {
                thread::sleep(ARRIVAL);
            }
            let mut stream = client.generate(generate(id, 2)).await.expect("its own answer");
            let (tokens, end) = read_all(&mut stream).await;
            assert!(end.is_ok() && tokens.len() == 2, "{end:?}");
        }
        assert_eq!(counts.recv_timeout(LONG), Ok(0), "bytes were written");
        assert_eq!(client.status().opened, 2);
    }
}

/// The events of a stream with two tokens.
fn events() -> String {
    let first = "data: {\"id\":\"ID\",\"wheel\":{\"index\":0}}\n\n";
    let last = "data: {\"id\":\"ID\",\"choices\":[{\"finish_reason\":\"length\"}],\
                \"wheel\":{\"index\":1}}\n\n";
    format!("{first}{last}data: [DONE]\n\n")
}
