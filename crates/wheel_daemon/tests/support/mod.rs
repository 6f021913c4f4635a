//! Runs the daemon's program as a separate process.

// Each test program uses a part of it.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, ChildStderr, Command, Output, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

/// Longest wait for any single event, in every test.
pub(crate) const LIMIT: Duration = Duration::from_secs(30);
const EXIT_POLL: Duration = Duration::from_millis(10);

/// The program with only the given environment variables.
pub(crate) fn daemon_command(arguments: &[&str], environment: &[(&str, &str)]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_wisteriawheeld"));
    command.env_clear().args(arguments).envs(environment.iter().copied()).stdin(Stdio::null());
    command
}

/// Runs the program to its end.
pub(crate) fn run_daemon(arguments: &[&str], environment: &[(&str, &str)]) -> Output {
    daemon_command(arguments, environment).output().unwrap()
}

/// A running daemon, killed when dropped.
pub(crate) struct ServingDaemon {
    child: Child,
    log: BufReader<ChildStderr>,
    pub(crate) callers: SocketAddr,
    pub(crate) operators: SocketAddr,
}

impl ServingDaemon {
    /// Starts it and waits until it reports that it serves.
    pub(crate) fn spawn(arguments: &[&str]) -> Self {
        let mut child = daemon_command(arguments, &[]).stderr(Stdio::piped()).spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let line = read_event(&mut log, "daemon_started");
        let (callers, operators) = (address_in(&line, "callers"), address_in(&line, "operators"));
        Self { child, log, callers, operators }
    }

    /// Waits for a log line with `event`.
    pub(crate) fn wait_for(&mut self, event: &str) {
        read_event(&mut self.log, event);
    }

    /// Sends SIGTERM.
    pub(crate) fn terminate(&self) {
        let id = Pid::from_raw(self.child.id() as i32).unwrap();
        kill_process(id, Signal::TERM).unwrap();
    }

    /// Waits for the end and returns the exit code.
    pub(crate) fn wait(&mut self) -> Option<i32> {
        let limit = Instant::now() + LIMIT;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            assert!(Instant::now() < limit, "the daemon didn't end");
            std::thread::sleep(EXIT_POLL);
        }
    }
}

impl Drop for ServingDaemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let status = self.child.wait();
        if std::thread::panicking() {
            let mut rest = String::new();
            let _ = self.log.read_to_string(&mut rest);
            eprintln!("the daemon ended with {status:?}, the rest of its log:\n{rest}");
        }
    }
}

/// Sends `head` and `body` and reads the status line of the answer.
pub(crate) fn send_request(address: SocketAddr, head: &str, body: &str) -> (TcpStream, String) {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(LIMIT)).unwrap();
    write!(stream, "{head}\r\n\r\n{body}").unwrap();
    let began = Instant::now();
    let status = read_line(&mut stream).unwrap_or_else(|(error, line)| {
        let (line, took) = (String::from_utf8_lossy(&line), began.elapsed());
        panic!("{error} after {line:?} and {took:?} at {address}, asked {head}")
    });
    (stream, status)
}

/// Reads a line; on an error, returns what came before it.
fn read_line(stream: &mut TcpStream) -> Result<String, (std::io::Error, Vec<u8>)> {
    let mut line = Vec::new();
    let mut byte = [0];
    while line.last() != Some(&b'\n') {
        match stream.read(&mut byte) {
            Ok(0) => break,
            Ok(_) => line.push(byte[0]),
            // A read with a timeout ends so when the test itself was stopped and goes on.
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err((error, line)),
        }
    }
    Ok(String::from_utf8(line).unwrap())
}

fn read_event(log: &mut impl BufRead, event: &str) -> String {
    let mark = format!("event={event} ");
    let mut seen = String::new();
    loop {
        let mut line = String::new();
        let count = log.read_line(&mut line).unwrap();
        assert!(count > 0, "the log ended without {event}:\n{seen}");
        if line.contains(&mark) {
            return line;
        }
        seen.push_str(&line);
    }
}

fn address_in(line: &str, key: &str) -> SocketAddr {
    let mark = format!("{key}=");
    let rest = line.split(&mark).nth(1).unwrap();
    rest.split_whitespace().next().unwrap().parse().unwrap()
}
