//! A simulated caller on plain connections, which sends requests behind others and reads slowly.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpSocket;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::platform_headers::{ATTEMPT_ID, DEADLINE, KEY, MODEL, PROMPT, TOKEN_USAGE};
use crate::soak_caller::answer_end;
use crate::wire_answer::WireAnswer;
use crate::wire_plan::WirePlan;
use crate::{CallEnd, CallRoute, CallerHabit, CallerSettings, ObservationSink, SeenEvent, TeamKey};

/// Timeout for opening a connection.
const CONNECT_TIME: Duration = Duration::from_secs(1);
/// The most that the system receives for a caller that stops reading, in bytes; what an answer has beyond
/// this waits in its process.
const PAUSED_BUFFER: u32 = 8 << 10;

/// A running caller.
#[derive(Debug)]
pub struct WireCaller {
    task: JoinHandle<()>,
}

/// What the connections of one caller share.
struct WireShared {
    habit: CallerHabit,
    settings: CallerSettings,
    sink: ObservationSink,
}

/// An open connection.
struct WireConnection {
    read: BufReader<OwnedReadHalf>,
    write: OwnedWriteHalf,
}

/// A request on a connection.
struct WireCall {
    id: Arc<str>,
    route: CallRoute,
    model: Option<Arc<str>>,
    is_kept: bool,
}

impl WireCaller {
    /// Starts a caller that opens connections until `stop` is true or its sender is dropped.
    pub fn spawn(
        habit: CallerHabit,
        settings: CallerSettings,
        sink: ObservationSink,
        mut stop: watch::Receiver<bool>,
    ) -> Self {
        let shared = Arc::new(WireShared { habit, settings, sink });
        let task = tokio::spawn(async move {
            let mut random = StdRng::seed_from_u64(shared.settings.seed);
            let mut connections = JoinSet::new();
            let step = 1.0 / shared.settings.rate_per_s.max(0.001);
            for number in 0_u64.. {
                let pause = Duration::from_secs_f64(step * random.random_range(0.0..2.0));
                tokio::select! {
                    _ = stop.wait_for(|is_stopped| *is_stopped) => break,
                    () = sleep(pause) => {}
                }
                while connections.try_join_next().is_some() {}
                let plan = WirePlan::draw(habit, &shared.settings, &mut random);
                let Some(plan) = plan else { break };
                connections.spawn(Arc::clone(&shared).use_connection(number, plan));
            }
            connections.join_all().await;
        });
        Self { task }
    }

    /// Waits until the caller has been stopped and all its calls have ended.
    pub async fn ended(self) {
        // A call that panicked has no recorded end, which the checker reports.
        let _ = self.task.await;
    }
}

impl WireShared {
    async fn use_connection(self: Arc<Self>, number: u64, plan: WirePlan) {
        let (process, address) = &self.settings.processes[plan.process];
        let opened = timeout(CONNECT_TIME, WireConnection::open(*address, self.habit)).await;
        let Ok(Ok(mut connection)) = opened else { return };
        for (round, requests) in plan.rounds.iter().enumerate() {
            let calls = requests.iter().enumerate().map(|(place, (route, model))| WireCall {
                id: format!("{}-{number}-{round}-{place}", self.settings.name).into(),
                route: route.clone(),
                model: model.clone(),
                is_kept: round + place > 0,
            });
            let calls: Vec<WireCall> = calls.collect();
            if !self.exchange(&mut connection, process, &calls, &plan).await {
                return;
            }
            // A connection that closes while it is idle is used no more.
            let ended = timeout(plan.round_pause, connection.read.fill_buf());
            if ended.await.is_ok() {
                return;
            }
        }
    }

    /// Sends the calls and reads their answers; returns whether the connection can be used again.
    async fn exchange(
        &self,
        connection: &mut WireConnection,
        process: &Arc<str>,
        calls: &[WireCall],
        plan: &WirePlan,
    ) -> bool {
        let (sent, sent_times) = watch::channel(Vec::<Instant>::new());
        // No request may follow once an answer has announced the end of its connection.
        let is_closing = AtomicBool::new(false);
        let WireConnection { read, write } = connection;
        let sending = async {
            for (place, call) in calls.iter().enumerate() {
                sleep(if place > 0 { plan.queue_after } else { Duration::ZERO }).await;
                if is_closing.load(Ordering::Relaxed) {
                    return std::future::pending().await;
                }
                if self.send(write, process, call, (place > 0, plan.read_pause)).await.is_err() {
                    // Without its end it wasn't sent, and the answer to it is awaited by nobody.
                    return std::future::pending().await;
                }
                sent.send_modify(|sent| sent.push(Instant::now()));
            }
            std::future::pending::<()>().await;
        };
        let reading = async {
            for (place, call) in calls.iter().enumerate() {
                let mut times = sent_times.clone();
                let began = tokio::select! {
                    biased;
                    times = times.wait_for(|times| times.len() > place) => times.ok()?[place],
                    // It closes before the next request is sent.
                    _ = read.fill_buf() => return None,
                };
                if place > 0 {
                    self.sink.record(SeenEvent::CallTurn { id: Arc::clone(&call.id) });
                }
                let give_up = began.max(Instant::now()) + call.route.deadline;
                let give_up = give_up + self.settings.deadline_slack;
                let (end, is_reusable) =
                    read_answer(read, plan.read_pause, give_up, &is_closing).await;
                let is_whole = matches!(end, CallEnd::Answered { is_whole: true, .. });
                self.sink.record(SeenEvent::CallEnded { id: Arc::clone(&call.id), end });
                let is_sent = sent_times.borrow().len() > place + 1;
                if !is_whole || !is_reusable && !is_sent {
                    // Nothing follows; what was sent behind it has no answer.
                    for late in &calls[place + 1..sent_times.borrow().len().max(place + 1)] {
                        let (id, end) = (Arc::clone(&late.id), CallEnd::Closed);
                        self.sink.record(SeenEvent::CallEnded { id, end });
                    }
                    return None;
                }
                if place + 1 == calls.len() && !is_reusable {
                    return None;
                }
            }
            Some(())
        };
        tokio::select! {
            biased;
            read = reading => read.is_some(),
            () = sending => false,
        }
    }

    async fn send(
        &self,
        write: &mut OwnedWriteHalf,
        process: &Arc<str>,
        call: &WireCall,
        (is_behind, by): (bool, Duration),
    ) -> io::Result<()> {
        let CallRoute { host, path, kind, deadline, max_engines, .. } = call.route.clone();
        let (id, process) = (Arc::clone(&call.id), Arc::clone(process));
        let began = SeenEvent::CallBegan { id: Arc::clone(&id), process: Arc::clone(&process) };
        self.sink.record(began);
        if let Some(key) = &self.settings.key {
            self.sink.record(SeenEvent::KeySent { id: Arc::clone(&id), key: *key });
        }
        if is_behind {
            self.sink.record(SeenEvent::CallQueued { id: Arc::clone(&id) });
        }
        if self.habit != CallerHabit::Pipelines {
            self.sink.record(SeenEvent::CallSlowed { id: Arc::clone(&id), by });
        }
        let model = call.model.as_ref().map(|model| {
            format!("{MODEL}: {model}\r\n{TOKEN_USAGE}: 100,20\r\n{PROMPT}: {:x}:100\r\n", id.len())
        });
        let key = self.settings.key.as_ref().and_then(TeamKey::text);
        let key = key.map(|key| format!("{KEY}: {key}\r\n")).unwrap_or_default();
        let (model, milliseconds) = (model.unwrap_or_default(), deadline.as_millis());
        let text = format!(
            "POST {path} HTTP/1.1\r\nhost: {host}\r\ncontent-length: {}\r\n{ATTEMPT_ID}: {id}\r\n\
             {DEADLINE}: {milliseconds}\r\n{key}{model}\r\n{id}",
            id.len()
        );
        write.write_all(text.as_bytes()).await?;
        let is_kept = call.is_kept;
        self.sink.record(SeenEvent::CallSent { id, kind, process, deadline, is_kept, max_engines });
        Ok(())
    }
}

impl WireConnection {
    async fn open(address: SocketAddr, habit: CallerHabit) -> io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        if habit == CallerHabit::StopsReading {
            socket.set_recv_buffer_size(PAUSED_BUFFER)?;
        }
        let stream = socket.connect(address).await?;
        stream.set_nodelay(true)?;
        let (read, write) = stream.into_split();
        Ok(Self { read: BufReader::new(read), write })
    }
}

/// Reads the next answer, with a pause after its head; the flag tells whether another may follow.
async fn read_answer(
    read: &mut BufReader<OwnedReadHalf>,
    pause: Duration,
    give_up: Instant,
    is_closing: &AtomicBool,
) -> (CallEnd, bool) {
    let answer = match timeout_at(give_up, WireAnswer::read(read)).await {
        Ok(Some(answer)) => answer,
        Ok(None) => return (CallEnd::Closed, false),
        Err(_) => return (CallEnd::TimedOut, false),
    };
    is_closing.fetch_or(answer.is_last(), Ordering::Relaxed);
    sleep(pause).await;
    let mut body = Vec::new();
    match timeout_at(give_up, answer.read_body(read, &mut body)).await {
        Ok(is_whole) => {
            let end = answer_end(answer.status, &answer.headers, body, is_whole);
            (end, is_whole && !answer.is_last())
        }
        Err(_) => (CallEnd::TimedOut, false),
    }
}
