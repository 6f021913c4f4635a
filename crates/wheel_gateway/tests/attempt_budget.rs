//! The route's `max_attempts` bounds the upstreams on which a request may run, however it moves from
//! one to the next. A resumed stream runs on each upstream that delivers a part of it.

#![allow(clippy::expect_used)]

mod support;

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use support::{Reply, TestIngress, TestUpstream};
use wheel_route::RouteKind;

const STREAM: RouteKind = RouteKind::Streaming { resumable: true };
const NAMES: [&str; 7] = ["u1", "u2", "u3", "u4", "u5", "u6", "u7"];
/// Number of events of a whole stream.
const TOTAL: u64 = 9;
/// Sends refused as not run after which a request is given up.
const MAX_REJECTED: usize = 4;
const SEEDS: u64 = 150;

fn events(ids: std::ops::RangeInclusive<u64>) -> String {
    ids.map(|id| format!("id: {id}\ndata: t{id}\n\n")).collect()
}

#[tokio::test]
async fn stream_resumed_again_and_again_stays_within_attempts() {
    let part = Reply::Continued { events: 2, total: TOTAL };
    let replies = Arc::new(Mutex::new(vec![part; NAMES.len()].into()));
    let mut upstreams = Vec::new();
    for name in NAMES {
        upstreams.push(TestUpstream::bind_sharing(name, Arc::clone(&replies)).await);
    }
    let ingress = TestIngress::bind(STREAM, &upstreams.iter().collect::<Vec<_>>()).await;
    let answer = ingress.post("/a/", &[]).await;
    assert_eq!((answer.body, answer.is_whole), (events(1..=4), false));
    let runs: usize = upstreams.iter().map(|upstream| upstream.seen().len()).sum();
    assert_eq!(runs, 2, "the route allows two");
}

/// What a caller receives: events, and whether the answer is a whole stream.
#[derive(Debug, Eq, PartialEq)]
struct Expected {
    events: u64,
    is_whole_stream: bool,
    sends: usize,
}

/// The outcome if the request runs on `max_attempts` upstreams at most, and goes on as long as it may.
fn expected(replies: &[Reply], max_attempts: u32) -> Expected {
    let (mut runs, mut rejected, mut received) = (0, 0, 0);
    for (index, reply) in replies.iter().enumerate() {
        let end =
            |is_whole_stream| Expected { events: received, is_whole_stream, sends: index + 1 };
        match reply {
            Reply::Continued { events, .. } => {
                (runs, received) = (runs + 1, (received + events).min(TOTAL));
                if received == TOTAL {
                    return Expected { events: TOTAL, is_whole_stream: true, sends: index + 1 };
                }
            }
            Reply::Answer { refused: true, .. } => rejected += 1,
            // A failure is an answer for a caller that has no part of another one.
            Reply::Answer { .. } if received == 0 => return end(false),
            _ => runs += 1,
        }
        if runs == max_attempts || rejected == MAX_REJECTED {
            return Expected { events: received, is_whole_stream: false, sends: index + 1 };
        }
    }
    Expected { events: received, is_whole_stream: false, sends: replies.len() }
}

fn random_reply(random: &mut StdRng) -> Reply {
    match random.random_range(0..10) {
        0 => Reply::Reset,
        1 => Reply::cut("id: 1\nda"),
        2 => Reply::ran(500, "why"),
        3..5 => Reply::not_executed(503),
        _ => Reply::Continued { events: random.random_range(1..=5), total: TOTAL },
    }
}

/// Random failures at each step: a request must run on as many upstreams as its route allows, and no
/// more.
#[tokio::test]
async fn stream_under_random_failures_stays_within_attempts() {
    for seed in 0..SEEDS {
        let mut random = StdRng::seed_from_u64(seed);
        let max_attempts = random.random_range(1..=4);
        let replies: Vec<Reply> = NAMES.iter().map(|_| random_reply(&mut random)).collect();
        let expected = expected(&replies, max_attempts);
        let shared = Arc::new(Mutex::new(replies.clone().into()));
        let mut upstreams = Vec::new();
        for name in NAMES {
            upstreams.push(TestUpstream::bind_sharing(name, Arc::clone(&shared)).await);
        }
        let listed: Vec<&TestUpstream> = upstreams.iter().collect();
        let ingress = TestIngress::with_route(STREAM, &listed, |route| {
            route.max_attempts = max_attempts;
            route.time_limit = Duration::from_secs(5);
        });
        let ingress = ingress.await;
        let answer = ingress.post("/a/", &[]).await;
        let sends = upstreams.iter().map(|upstream| upstream.seen().len()).sum();
        let is_stream = answer.status == 200;
        let received = if is_stream { answer.body.matches("data: ").count() as u64 } else { 0 };
        let is_whole_stream = is_stream && answer.is_whole;
        let found = Expected { events: received, is_whole_stream, sends };
        assert_eq!(found, expected, "seed {seed}, {max_attempts} attempts, {replies:?}");
        if is_stream {
            assert_eq!(answer.body, events(1..=received), "seed {seed}");
        }
        assert!(is_stream || answer.is_whole, "seed {seed}: a failure must be whole");
    }
}
