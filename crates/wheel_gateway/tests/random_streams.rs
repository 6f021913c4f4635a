//! A sound stream that faults of several upstreams cut at random places must reach its caller as the
//! whole, or as a part that breaks off.

#![allow(clippy::expect_used)]

mod support;

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use support::{SeenRequest, TestIngress, TestUpstream};
use tokio::runtime::Builder;
use wheel_route::{RouteKind, RouteSpec};

const NAMES: [&str; 3] = ["u1", "u2", "u3"];
const HEAD: &str = "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-signature: s\r\n";
const SEEDS: u64 = 300;
/// Bytes that aren't events of any stream, with the blank line that would end an event.
const FALSE_BYTES: [&str; 6] = [
    "HTTP/1.1 500 Internal Server Error\r\nx-id: id-1\r\ncontent-length: 0\r\n\r\n",
    "upstream failed\n\n",
    "{\"error\": \"failed\"}\r\n\r\n",
    "event: error\nfailed\n\n",
    "id: 99\n\x00\x17\ndata: x\n\n",
    "id: 99\nid: 100\ndata: x\n\n",
];

/// How a body's end is marked.
#[derive(Clone, Copy, Debug)]
enum BodyFraming {
    Length,
    Chunks,
    Close,
}

/// What an upstream does once it has sent some of the events that are left.
#[derive(Clone, Debug)]
enum RandomFault {
    /// Sends the rest and ends.
    None,
    /// Sends part of the next event and closes or resets the connection.
    Break { resets: bool },
    /// Sends part of the next event and ends the body as if it were complete.
    EndInside,
    /// Sends bytes that are no event and ends the body.
    FalseBytes(&'static str),
    /// Sends an event without an id and ends the body.
    WithoutId,
    /// Sends its last event again and ends the body.
    Again,
    /// Sends no event that is new and ends the body.
    Nothing,
    /// Answers with a failure.
    Failure,
}

/// The whole stream: events with their ids.
struct SoundStream {
    events: Vec<(u64, String)>,
}

impl SoundStream {
    fn random(random: &mut StdRng) -> Self {
        let count = random.random_range(2..9);
        let mut id = 0;
        let event = |_| {
            id += random.random_range(1..=3_u64);
            let lead = ["", "event: token\n", "x-version: 7\n", ": note\n"];
            let lead = lead[random.random_range(0..lead.len())];
            let data = "x".repeat(random.random_range(0..40));
            let end = ["\n\n", "\r\n\r\n"][random.random_range(0..2)];
            (id, format!("{lead}id: {id}\ndata: {data}{end}"))
        };
        Self { events: (0..count).map(event).collect() }
    }

    fn whole(&self) -> String {
        self.events.iter().map(|(_, event)| &**event).collect()
    }

    /// An upstream's answer to a request, and whether the connection is reset after it.
    fn answer(&self, request: &SeenRequest, random: &mut StdRng) -> (String, bool) {
        let last = request.header("last-event-id").map(|last| last.parse().expect("an id"));
        let left = self.events.iter().filter(|(id, _)| last.is_none_or(|last| *id > last));
        let left: Vec<&str> = left.map(|(_, event)| &**event).collect();
        let repeated = self.events.iter().filter(|(id, _)| last.is_some_and(|last| *id <= last));
        let repeated: Vec<&str> = repeated.map(|(_, event)| &**event).collect();
        let repeated = repeated[random.random_range(0..=repeated.len())..].concat();
        // The end of an event isn't a place to break at: without a framing it may be the end of the stream.
        let sent = random.random_range(0..left.len());
        let lead = repeated + &left[..sent].concat();
        let part = &left[sent][..random.random_range(1..left[sent].len() - 3)];
        let framing = [BodyFraming::Length, BodyFraming::Chunks, BodyFraming::Close];
        let framing = framing[random.random_range(0..framing.len())];
        match random_fault(random, last.is_some(), sent > 0) {
            RandomFault::None => (framed(&(lead + &left[sent..].concat()), framing, 0), false),
            RandomFault::Break { resets } => (framed(&(lead + part), framing, 9), resets),
            RandomFault::EndInside => (framed(&(lead + part), framing, 0), false),
            RandomFault::FalseBytes(bytes) => (framed(&(lead + bytes), framing, 0), false),
            RandomFault::WithoutId => (framed(&(lead + "data: x\n\n"), framing, 0), false),
            RandomFault::Again => (framed(&(lead + left[sent - 1]), framing, 0), false),
            RandomFault::Nothing => (framed(": nothing\n\n", framing, 0), false),
            RandomFault::Failure => {
                (framed("failed", framing, 0).replace("200 OK", "500 Internal Server Error"), false)
            }
        }
    }
}

/// A fault of an upstream that continues a stream if `continues`, after events if `has_sent`.
fn random_fault(random: &mut StdRng, continues: bool, has_sent: bool) -> RandomFault {
    match random.random_range(0..10) {
        0..2 => RandomFault::None,
        2..4 => RandomFault::Break { resets: random.random() },
        4 => RandomFault::EndInside,
        5..7 => RandomFault::FalseBytes(FALSE_BYTES[random.random_range(0..FALSE_BYTES.len())]),
        7 if has_sent => RandomFault::Again,
        8 if has_sent || continues => RandomFault::WithoutId,
        9 if continues && random.random() => RandomFault::Nothing,
        9 if continues => RandomFault::Failure,
        _ => RandomFault::Break { resets: false },
    }
}

/// A success with `body`, of which `missing` bytes never come.
fn framed(body: &str, framing: BodyFraming, missing: usize) -> String {
    match framing {
        BodyFraming::Length => {
            format!("{HEAD}content-length: {}\r\n\r\n{body}", body.len() + missing)
        }
        BodyFraming::Chunks => {
            let end = if missing > 0 { "" } else { "0\r\n\r\n" };
            format!("{HEAD}transfer-encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n{end}", body.len())
        }
        BodyFraming::Close => format!("{HEAD}\r\n{body}"),
    }
}

/// Sends a request for a random stream to three upstreams with random faults; returns whether it
/// came whole, and whether it came from more than one upstream.
async fn send_random(seed: u64, resumable: bool) -> (bool, bool) {
    let mut random = StdRng::seed_from_u64(seed);
    let sound = Arc::new(SoundStream::random(&mut random));
    let random = Arc::new(Mutex::new(random));
    let mut upstreams = Vec::new();
    for name in NAMES {
        let (sound, random) = (Arc::clone(&sound), Arc::clone(&random));
        let answer = move |request: &SeenRequest| sound.answer(request, &mut random.lock());
        upstreams.push(TestUpstream::bind_computed(name, answer).await);
    }
    let listed: Vec<&TestUpstream> = upstreams.iter().collect();
    let change = |route: &mut RouteSpec| {
        route.max_attempts = 3;
        route.time_limit = Duration::from_secs(8);
    };
    let kind = RouteKind::Streaming { resumable };
    let ingress = TestIngress::with_route(kind, &listed, change).await;
    let answer = ingress.post("/a/", &[]).await;
    let context = format!("seed {seed}, resumable {resumable}: {:?}", answer.body);
    let requests: Vec<SeenRequest> = upstreams.iter().flat_map(TestUpstream::seen).collect();
    assert!(resumable || requests.len() == 1, "{context}: it may not run twice");
    if answer.status != 200 {
        assert_eq!((answer.status, answer.is_whole), (502, true), "{context}");
        return (false, false);
    }
    let whole = sound.whole();
    assert!(whole.starts_with(&answer.body), "{context}: other bytes than {whole:?}");
    assert_eq!(answer.is_whole, answer.body == whole, "{context}: of {whole:?}");
    let resumed = requests.iter().any(|request| request.header("last-event-id").is_some());
    (answer.is_whole, resumed)
}

#[test]
fn stream_under_random_faults_comes_whole_or_breaks_off() {
    let (mut whole, mut joined) = (0, 0);
    for seed in 0..SEEDS {
        for resumable in [true, false] {
            // Its end closes the listeners and connections of the seed.
            let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
            let (is_whole, is_resumed) = runtime.block_on(send_random(seed, resumable));
            whole += u32::from(is_whole);
            joined += u32::from(is_whole && is_resumed);
        }
    }
    // Otherwise the faults would leave nothing to judge.
    assert!(
        whole > 100 && joined > 30,
        "{whole} came whole, {joined} of them from several upstreams"
    );
}
