//! How a link relay treats connections in each state.

#![allow(clippy::expect_used)]

use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use wheel_harness::{LinkRelay, LinkState};

/// Time limit for an answer on loopback, sized for a busy machine.
const LIMIT: Duration = Duration::from_secs(5);
/// Time without an answer after which it counts as lost.
const QUIET: Duration = Duration::from_millis(300);

/// A link to an echo server, and the number of bytes that the server has read.
async fn echoing_link() -> (LinkRelay, tokio::sync::watch::Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (seen, reader) = tokio::sync::watch::channel(0);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let seen = seen.clone();
            tokio::spawn(async move {
                let mut chunk = [0; 4096];
                while let Ok(count @ 1..) = stream.read(&mut chunk).await {
                    seen.send_modify(|sum| *sum += count);
                    if stream.write_all(&chunk[..count]).await.is_err() {
                        break;
                    }
                }
            });
        }
    });
    (LinkRelay::bind(address).await.expect("a link"), reader)
}

/// Sends `count` bytes, reads them back and returns the elapsed time.
async fn exchange(stream: &mut TcpStream, count: usize) -> std::io::Result<Duration> {
    let started = Instant::now();
    stream.write_all(&vec![7; count]).await?;
    stream.read_exact(&mut vec![0; count]).await?;
    Ok(started.elapsed())
}

#[tokio::test]
async fn link_delays_each_way() {
    let (link, _) = echoing_link().await;
    let mut stream = TcpStream::connect(link.address()).await.expect("a connection");
    exchange(&mut stream, 10).await.expect("an open link");
    link.set(LinkState::Delayed(Duration::from_millis(100)));
    let time = exchange(&mut stream, 10).await.expect("a late answer");
    assert!(time >= Duration::from_millis(200), "{time:?}");
}

#[tokio::test]
async fn link_trickles_all_bytes() {
    let (link, _) = echoing_link().await;
    link.set(LinkState::Trickling);
    let mut stream = TcpStream::connect(link.address()).await.expect("a connection");
    let time = exchange(&mut stream, 1_000).await.expect("all bytes");
    assert!(time >= Duration::from_millis(200), "{time:?}");
}

#[tokio::test]
async fn link_loses_answers_one_way() {
    let (link, mut seen) = echoing_link().await;
    link.set(LinkState::OneWay);
    let mut stream = TcpStream::connect(link.address()).await.expect("a connection");
    let lost = tokio::time::timeout(QUIET, exchange(&mut stream, 10)).await;
    assert!(lost.is_err(), "an answer arrived: {lost:?}");
    // The reference that `wait_for` returns holds the channel's lock and would block the sender.
    let arrived = tokio::time::timeout(LIMIT, seen.wait_for(|count| *count == 10)).await.is_ok();
    assert!(arrived, "the request didn't arrive");
    // This connection has lost bytes; a new one is intact.
    link.set(LinkState::Open);
    let lost = tokio::time::timeout(QUIET, exchange(&mut stream, 10)).await;
    assert!(lost.is_err(), "an answer arrived after lost bytes: {lost:?}");
    let mut stream = TcpStream::connect(link.address()).await.expect("a connection");
    exchange(&mut stream, 10).await.expect("an open link");
}

#[tokio::test]
async fn link_resets_what_is_open_and_what_comes() {
    let (link, _) = echoing_link().await;
    let mut stream = TcpStream::connect(link.address()).await.expect("a connection");
    exchange(&mut stream, 10).await.expect("an open link");
    link.set(LinkState::Resetting);
    let ended = tokio::time::timeout(LIMIT, stream.read(&mut [0; 8])).await.expect("an end");
    assert_eq!(ended.map_err(|fault| fault.kind()), Err(std::io::ErrorKind::ConnectionReset));
    let mut stream = TcpStream::connect(link.address()).await.expect("a connection");
    let ended = tokio::time::timeout(LIMIT, exchange(&mut stream, 10)).await.expect("an end");
    assert!(ended.is_err(), "{ended:?}");
}

#[tokio::test]
async fn link_passes_a_reset_on() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let link = LinkRelay::bind(listener.local_addr().expect("an address")).await.expect("a link");
    let mut near = TcpStream::connect(link.address()).await.expect("a connection");
    let (far, _) = listener.accept().await.expect("a connection");
    far.set_zero_linger().expect("an option");
    drop(far);
    let ended = tokio::time::timeout(LIMIT, near.read(&mut [0; 8])).await.expect("an end");
    assert_eq!(ended.map_err(|fault| fault.kind()), Err(std::io::ErrorKind::ConnectionReset));
}
