//! The heads of an upstream stub's answers, and their plans.
//!
//! The last part of a request's path is its workload: `AxB` stands for A events with a pause of B
//! milliseconds before each or, for a plain answer, for A additional bytes after B milliseconds.

use std::io;
use std::time::Duration;

use tokio::io::{AsyncWrite, AsyncWriteExt};
use wheel_platform::wire_names::{ATTEMPT_ID, INSTANCE, NOT_EXECUTED, SIGNATURE};

use crate::planned_answer::PlannedAnswer;
use crate::wire_request::WireRequest;
use crate::wire_server::ConnectionAction;
use crate::{HeadPart, ResumeAnswer, UpstreamFault};

/// Workload of a stream whose path names none: the number of events and the milliseconds before each.
const DEFAULT_STREAM: (u64, u64) = (5, 50);
/// The same for a plain answer: additional bytes and milliseconds.
const DEFAULT_ANSWER: (u64, u64) = (0, 20);

/// Data for the head of any answer to one request.
pub(crate) struct AnswerHead<'a> {
    pub(crate) id: &'a str,
    pub(crate) upstream: &'a str,
}

impl AnswerHead<'_> {
    fn text(&self, framing: &str, fault: Option<UpstreamFault>) -> String {
        let status = match fault {
            Some(UpstreamFault::Fail) => "500 Internal Server Error",
            Some(UpstreamFault::Resumes(ResumeAnswer::NoContent)) => "204 No Content",
            _ => "200 OK",
        };
        let id = match fault {
            Some(UpstreamFault::Crossed) => format!("other-{}", self.id),
            _ => self.id.to_owned(),
        };
        format!(
            "HTTP/1.1 {status}\r\n{ATTEMPT_ID}: {id}\r\n\
             {SIGNATURE}: {}.{id}\r\n{framing}\r\n\r\n",
            self.upstream
        )
    }

    /// Refuses the request as not run; `rest` is the time to wait until the next call, in seconds.
    pub(crate) async fn refuse(
        &self,
        write: &mut (impl AsyncWrite + Unpin),
        status: &str,
        rest: Option<&str>,
    ) -> io::Result<ConnectionAction> {
        let rest = rest.map(|rest| format!("retry-after: {rest}\r\n")).unwrap_or_default();
        let head = format!(
            "HTTP/1.1 {status}\r\n{ATTEMPT_ID}: {}\r\n{NOT_EXECUTED}: 1\r\n\
             {INSTANCE}: {}\r\n{rest}content-length: 0\r\n\r\n",
            self.id, self.upstream
        );
        write.write_all(head.as_bytes()).await?;
        Ok(ConnectionAction::Keep)
    }

    pub(crate) fn plain(
        &self,
        request: &WireRequest,
        fault: Option<UpstreamFault>,
    ) -> PlannedAnswer {
        let (extra, pause) = parse_workload(&request.path).unwrap_or(DEFAULT_ANSWER);
        let mut body = format!("{} {}\n", self.id, request.body.len()).into_bytes();
        body.resize(body.len() + usize::try_from(extra).unwrap_or_default(), b'.');
        let framing = match fault {
            Some(UpstreamFault::Endless(_)) => "transfer-encoding: chunked".to_owned(),
            Some(UpstreamFault::StopsInHead { part: HeadPart::Unbounded, .. }) => {
                "content-type: text/plain".to_owned()
            }
            _ => format!("content-length: {}", body.len()),
        };
        let head = self.text(&framing, fault);
        let chunks = vec![[head.as_bytes(), &body].concat()];
        let head_size = head.len();
        PlannedAnswer { chunks, head_size, pause: Duration::from_millis(pause), body: Some(body) }
    }

    pub(crate) fn stream(
        &self,
        request: &WireRequest,
        resumed_after: u64,
        fault: Option<UpstreamFault>,
    ) -> PlannedAnswer {
        let (count, pause) = parse_workload(&request.path).unwrap_or(DEFAULT_STREAM);
        let event = |number: u64| format!("id: {number}\ndata: {}-{number}\n\n", self.id);
        let fault = match fault {
            Some(UpstreamFault::Resumes(answer)) if resumed_after < count => {
                return self.odd_rest(answer, &event(resumed_after + 1), pause);
            }
            // With nothing left to send, an empty answer is right.
            Some(UpstreamFault::Resumes(_)) => None,
            fault => fault,
        };
        let is_closed = fault == Some(UpstreamFault::Closed);
        let is_unbounded =
            matches!(fault, Some(UpstreamFault::StopsInHead { part: HeadPart::Unbounded, .. }));
        let framing = match is_closed || is_unbounded {
            true => "content-type: text/event-stream",
            false => "content-type: text/event-stream\r\ntransfer-encoding: chunked",
        };
        let events: Vec<String> = (resumed_after + 1..=count).map(event).collect();
        let mut chunks = vec![self.text(framing, fault).into_bytes()];
        let head_size = chunks[0].len();
        if is_closed {
            chunks.extend(events.iter().map(|event| event.clone().into_bytes()));
        } else {
            let encoded = events.iter().map(|event| format!("{:x}\r\n{event}\r\n", event.len()));
            chunks.extend(encoded.map(String::into_bytes));
            chunks.push(b"0\r\n\r\n".to_vec());
        }
        let body = events.concat().into_bytes();
        PlannedAnswer { chunks, head_size, pause: Duration::from_millis(pause), body: Some(body) }
    }
    /// An odd answer to a stream that is to be resumed with `next_event`.
    fn odd_rest(&self, answer: ResumeAnswer, next_event: &str, pause: u64) -> PlannedAnswer {
        const FAILURE_HEAD: &str =
            "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n";
        let body = match answer {
            ResumeAnswer::NoBytes | ResumeAnswer::NoContent => String::new(),
            ResumeAnswer::NoChunks => "0\r\n\r\n".to_owned(),
            ResumeAnswer::Text => "upstream failed\n\n".to_owned(),
            ResumeAnswer::EventAndHead => [next_event, FAILURE_HEAD].concat(),
            ResumeAnswer::ClosedHead => FAILURE_HEAD.to_owned(),
            ResumeAnswer::ErrorEvent => "event: error\ndata: upstream failed\n\n".to_owned(),
        };
        let framing = match answer {
            ResumeAnswer::NoContent | ResumeAnswer::ClosedHead => String::new(),
            ResumeAnswer::NoChunks => "\r\ntransfer-encoding: chunked".to_owned(),
            _ => format!("\r\ncontent-length: {}", body.len()),
        };
        let framing = format!("content-type: text/event-stream{framing}");
        let head = self.text(&framing, Some(UpstreamFault::Resumes(answer))).into_bytes();
        let (head_size, pause) = (head.len(), Duration::from_millis(pause));
        PlannedAnswer { chunks: vec![head, body.into_bytes()], head_size, pause, body: None }
    }
}

/// Parses the workload `AxB` at the end of a path.
fn parse_workload(path: &str) -> Option<(u64, u64)> {
    let (_, last) = path.rsplit_once('/')?;
    let (count, pause) = last.split_once('x')?;
    Some((count.parse().ok()?, pause.parse().ok()?))
}
