//! Callers that read their answers slowly or not at all. What they leave unread holds memory that others need; who
//! reads, however slowly, must get the whole answer.

#![allow(clippy::expect_used)]

use std::net::SocketAddr;
use std::time::Duration;

use http::Response;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{Instant, sleep, timeout};
use wheel_ingress::{HttpLimits, HttpServer, ReadDeadline, full_body};

/// Size of an answer that no socket buffers hold.
const LARGE_BYTES: usize = 12 << 20;
/// Size of an answer that is read slowly.
const SLOW_BYTES: usize = 1 << 20;
/// Part of it that is read at once, and the pause after that.
const PIECE_BYTES: usize = 32 << 10;
const PIECE_PAUSE: Duration = Duration::from_millis(150);
/// Pause of a caller, longer than an answer may stay unread after its deadline.
const LONG_PAUSE: Duration = Duration::from_secs(4);
/// Time limit for the end of an answer, on a busy machine.
const LIMIT: Duration = Duration::from_secs(30);

/// A server whose answers have `bytes` bytes and a deadline after `time`.
async fn bind(bytes: usize, time: Duration) -> HttpServer {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = HttpServer::bind(address, HttpLimits::default(), move |_| async move {
        let mut response = Response::new(full_body(vec![b'x'; bytes]));
        response.extensions_mut().insert(ReadDeadline::new(Instant::now() + time));
        response
    });
    server.await.expect("a server")
}

/// Sends a request over a connection that buffers little at the caller.
async fn send(server: &HttpServer) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(PIECE_BYTES as u32).expect("a receive buffer");
    send_over(socket, server).await
}

async fn send_over(socket: TcpSocket, server: &HttpServer) -> TcpStream {
    let mut stream = socket.connect(server.local_addr()).await.expect("a connection");
    let request = b"GET / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
    stream.write_all(request).await.expect("a sent request");
    stream
}

/// Bytes until the end of the connection, or of its reset.
async fn read_rest(stream: &mut TcpStream, pause: Duration) -> Result<usize, std::io::Error> {
    let (mut count, mut piece) = (0, vec![0; PIECE_BYTES]);
    loop {
        match stream.read(&mut piece).await? {
            0 => return Ok(count),
            read => count += read,
        }
        sleep(pause).await;
    }
}

#[tokio::test]
async fn answer_unread_after_its_deadline_is_reset() {
    let server = bind(LARGE_BYTES, Duration::ZERO).await;
    let mut stream = send(&server).await;
    stream.read_u8().await.expect("the begin of an answer");
    let began = Instant::now();
    while server.open_connections() > 0 {
        assert!(began.elapsed() < LIMIT, "the connection is still open");
        sleep(Duration::from_millis(20)).await;
    }
    let rest = timeout(LIMIT, read_rest(&mut stream, Duration::ZERO)).await.expect("an end");
    let error = rest.expect_err("a whole answer or a clean end of a part of it");
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
}

#[tokio::test]
async fn answer_read_slowly_after_its_deadline_is_whole() {
    let server = bind(SLOW_BYTES, Duration::ZERO).await;
    let mut stream = send(&server).await;
    let began = Instant::now();
    let rest = timeout(LIMIT, read_rest(&mut stream, PIECE_PAUSE)).await.expect("an end");
    let count = rest.expect("no reset");
    assert!(count > SLOW_BYTES, "{count} bytes after {:?}", began.elapsed());
    assert!(began.elapsed() > LONG_PAUSE, "read within {:?}", began.elapsed());
}

/// The buffers of a fast connection hold megabytes. The caller reads all the same while they are emptied.
#[tokio::test]
async fn answer_read_slowly_out_of_large_buffers_is_whole() {
    let server = bind(LARGE_BYTES, Duration::ZERO).await;
    let mut stream = send_over(TcpSocket::new_v4().expect("a socket"), &server).await;
    let (began, mut count, mut piece) = (Instant::now(), 0, vec![0; PIECE_BYTES]);
    while began.elapsed() < LONG_PAUSE {
        count += stream.read_exact(&mut piece).await.expect("no reset");
        sleep(PIECE_PAUSE).await;
    }
    let rest = timeout(LIMIT, read_rest(&mut stream, Duration::ZERO)).await.expect("an end");
    assert!(count + rest.expect("no reset") > LARGE_BYTES, "{count} bytes read slowly");
}

#[tokio::test]
async fn answer_unread_before_its_deadline_is_whole() {
    let server = bind(LARGE_BYTES, LONG_PAUSE * 4).await;
    let mut stream = send(&server).await;
    sleep(LONG_PAUSE).await;
    let rest = timeout(LIMIT, read_rest(&mut stream, Duration::ZERO)).await.expect("an end");
    assert!(rest.expect("no reset") > LARGE_BYTES);
}
