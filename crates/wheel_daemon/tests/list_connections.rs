//! The platform's list bears no id. A list that comes once more on a kept connection would be taken
//! for the next one, so that each is read over a connection of its own.

#![allow(clippy::expect_used, clippy::unwrap_used)]

mod support;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{Sender, channel};

use support::{LIMIT, ServingDaemon};

/// Answers the requests of a connection and reports how many there were once it is closed.
fn serve(mut stream: TcpStream, closed: &Sender<usize>) {
    let mut count = 0;
    while let Ok(1..) = stream.read(&mut [0; 4_096]) {
        count += 1;
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n[]";
        if stream.write_all(answer).is_err() {
            break;
        }
    }
    let _ = closed.send(count);
}

#[test]
fn list_is_read_over_a_connection_of_its_own() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let list = format!("--instance-list={}", listener.local_addr().unwrap());
    let (closed, counts) = channel();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (stream, closed) = (stream.unwrap(), closed.clone());
            std::thread::spawn(move || serve(stream, &closed));
        }
    });
    let folder = tempfile::tempdir().unwrap();
    let data = format!("--data-folder={}", folder.path().join("data").display());
    let mut arguments = vec![data.as_str(), list.as_str()];
    arguments.extend(["--instance=c1", "--data-centre=c", "--group=minimal", "--control=c1"]);
    arguments.extend(["--listen=127.0.0.1:0", "--admin-listen=127.0.0.1:0"]);
    arguments.extend(["--peer-listen=127.0.0.1:0", "--relay-listen=127.0.0.1:0"]);
    let _daemon = ServingDaemon::spawn(&arguments);
    for _ in 0..2 {
        let count = counts.recv_timeout(LIMIT).expect("a connection is closed after its list");
        assert_eq!(count, 1);
    }
}
