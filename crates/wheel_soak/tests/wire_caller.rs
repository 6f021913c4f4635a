//! What callers on plain connections send and record, against a test server over real connections.

#![allow(clippy::expect_used)]

use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufStream};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use wheel_platform::wire_names::ATTEMPT_ID;
use wheel_soak::{
    CallEnd, CallKind, CallRoute, CallerHabit, CallerSettings, Observation, ObservationSink,
    SeenEvent, WireCaller,
};

const RUN_TIME: Duration = Duration::from_secs(2);
const LARGE: usize = 200_000;

/// Reads a request and returns its id.
async fn read_request(stream: &mut BufStream<TcpStream>) -> Option<String> {
    let (mut id, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).await.ok().filter(|count| *count > 0)?;
        match line.trim_end().split_once(": ") {
            Some((ATTEMPT_ID, value)) => value.clone_into(&mut id),
            Some(("content-length", value)) => length = value.parse().expect("a number"),
            Some(_) => {}
            None if line == "\r\n" => break,
            None => assert_eq!(line, "POST /p HTTP/1.1\r\n"),
        }
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    Some(id)
}

/// Answers nothing before the second request of a pair has arrived, and then with `answers` for each.
async fn serve_pairs(stream: TcpStream, answers: &'static [&'static str]) -> Option<()> {
    let mut stream = BufStream::new(stream);
    loop {
        for _ in 0..2 {
            read_request(&mut stream).await?;
        }
        for answer in answers {
            stream.write_all(answer.as_bytes()).await.ok()?;
            stream.flush().await.ok()?;
        }
        if answers.len() < 2 {
            return None;
        }
    }
}

async fn serve_large(stream: TcpStream) -> Option<()> {
    let mut stream = BufStream::new(stream);
    loop {
        read_request(&mut stream).await?;
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {LARGE}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.ok()?;
        stream.write_all(&vec![b'x'; LARGE]).await.ok()?;
        stream.flush().await.ok()?;
    }
}

/// The observations that a caller records of its calls to a server that serves connections by `serve`.
async fn run<F>(habit: CallerHabit, serve: impl Fn(TcpStream) -> F) -> Vec<Observation>
where
    F: Future<Output = Option<()>> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback can be listened on");
    let address = listener.local_addr().expect("an address");
    let (sink, mut received) = ObservationSink::open();
    let (stop, stopped) = watch::channel(false);
    let route = CallRoute {
        host: "h".into(),
        path: "/p".into(),
        kind: CallKind::Idempotent,
        deadline: Duration::from_secs(4),
        max_engines: 3,
        has_model: false,
    };
    let settings = CallerSettings {
        name: "c".into(),
        processes: vec![("entry-0".into(), address)],
        routes: vec![route],
        models: Vec::new(),
        rate_per_s: 20.0,
        seed: 7,
        deadline_slack: Duration::from_secs(1),
        key: None,
    };
    let caller = WireCaller::spawn(habit, settings, sink, stopped);
    let accepting = async {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream));
        }
    };
    // A connection that is opened just before the caller stops is served, too.
    let stopping = async {
        tokio::time::sleep(RUN_TIME).await;
        stop.send(true).expect("the caller runs");
        caller.ended().await;
    };
    tokio::select! {
        () = accepting => {}
        () = stopping => {}
    }
    let mut observations = Vec::new();
    while let Ok(observation) = received.try_recv() {
        observations.push(observation);
    }
    observations
}

/// Whether the answer to each ended call is complete, by the place of the call behind others, with whether
/// its turn had come.
fn outcomes(observations: &[Observation], place: &str) -> Vec<(bool, bool)> {
    let has_turn = |id: &Arc<str>| {
        let is_turn = |seen: &Observation| seen.event == SeenEvent::CallTurn { id: Arc::clone(id) };
        observations.iter().any(is_turn)
    };
    let ended = observations.iter().filter_map(|seen| match &seen.event {
        SeenEvent::CallEnded { id, end } if id.ends_with(place) => Some((id, end)),
        _ => None,
    });
    ended
        .map(|(id, end)| (matches!(end, CallEnd::Answered { is_whole: true, .. }), has_turn(id)))
        .collect()
}

// A caller that waits for the first answer before it sends the second request tests no pipelining.
#[tokio::test]
async fn pipelined_requests_are_sent_before_the_first_answer() {
    let answers = &[
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nde",
    ];
    let observations = run(CallerHabit::Pipelines, |stream| serve_pairs(stream, answers)).await;
    let (first, second) = (outcomes(&observations, "-0"), outcomes(&observations, "-1"));
    assert!(first.len() > 20 && first.len() == second.len(), "{} pairs", first.len());
    assert!(first.iter().all(|outcome| *outcome == (true, false)), "{first:?}");
    assert!(second.iter().all(|outcome| *outcome == (true, true)), "{second:?}");
}

// A second request that is left unanswered must be told from one behind an answer that broke off.
#[tokio::test]
async fn pipelined_request_without_an_answer_is_closed_in_its_turn() {
    let answers = &["HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nab"];
    let observations = run(CallerHabit::Pipelines, |stream| serve_pairs(stream, answers)).await;
    assert!(outcomes(&observations, "-0").iter().all(|outcome| *outcome == (true, false)));
    let second = outcomes(&observations, "-1");
    assert!(second.len() > 10 && second.iter().all(|outcome| *outcome == (false, true)));
    let answers = &["HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nab"];
    let observations = run(CallerHabit::Pipelines, |stream| serve_pairs(stream, answers)).await;
    assert!(outcomes(&observations, "-0").iter().all(|outcome| *outcome == (false, false)));
    let second = outcomes(&observations, "-1");
    assert!(second.len() > 10 && second.iter().all(|outcome| *outcome == (false, false)));
}

// A pause that takes no time, or a body that isn't read on after it, tests nothing.
#[tokio::test]
async fn paused_caller_reads_on_after_its_pause() {
    let observations = run(CallerHabit::StopsReading, serve_large).await;
    let mut pauses = 0;
    for seen in &observations {
        let SeenEvent::CallSlowed { id, by } = &seen.event else { continue };
        let end = observations.iter().find_map(|other| match &other.event {
            SeenEvent::CallEnded { id: ended, end } if ended == id => Some((other.at, end)),
            _ => None,
        });
        let (at, end) = end.expect("each call ends");
        let is_whole = |end: &CallEnd| matches!(end, CallEnd::Answered { is_whole: true, body, .. } if body.len() == LARGE);
        assert!(is_whole(end) && at >= seen.at + *by, "{id} after {by:?}");
        pauses += 1;
    }
    assert!(pauses > 20, "{pauses} pauses");
}
