//! Bytes in messages and records. They are encoded as a whole, in the format of a sequence, in which data folders and
//! instances of earlier versions have them.

#![allow(clippy::expect_used)]

use std::time::{Duration, Instant};

use serde::Serialize;
use wheel_agreement::{EntryPayload, GroupAction, GroupCommand, decode, encode};

const DOCUMENT_BYTES: usize = 2 << 20;
const ROUNDS: usize = 5;
/// How much longer it takes byte by byte, at the least.
const MIN_RATIO: u32 = 4;

/// The types with bytes as they are described to the format when each byte is a number.
#[derive(Serialize)]
enum PlainPayload {
    #[allow(dead_code)]
    Noop,
    Command(Vec<u8>),
}

#[derive(Serialize)]
struct PlainCommand {
    leader_ms: u64,
    action: PlainAction,
}

#[derive(Serialize)]
enum PlainAction {
    #[allow(dead_code)]
    ApplyManifest,
    AdoptDocument {
        version: u64,
        bytes: Vec<u8>,
    },
}

fn command(bytes: &[u8]) -> GroupCommand {
    GroupCommand {
        leader_ms: 3,
        action: GroupAction::AdoptDocument { version: 300, bytes: bytes.into() },
    }
}

fn plain_command(bytes: &[u8]) -> PlainCommand {
    let action = PlainAction::AdoptDocument { version: 300, bytes: bytes.to_vec() };
    PlainCommand { leader_ms: 3, action }
}

#[test]
fn encode_of_bytes_keeps_the_format_of_a_sequence() {
    for length in [0, 1, 127, 128, 300] {
        let bytes: Vec<u8> = (0..length).map(|index| index as u8).collect();
        let payload = EntryPayload::Command(bytes.as_slice().into());
        let plain = PlainPayload::Command(bytes.clone());
        assert_eq!(encode(&payload), encode(&plain));
        assert_eq!(encode(&command(&bytes)), encode(&plain_command(&bytes)));
        let plain = encode(&plain).expect("an encoding");
        assert_eq!(decode::<EntryPayload>(&plain), Ok(payload));
        let plain = encode(&plain_command(&bytes)).expect("an encoding");
        assert_eq!(decode::<GroupCommand>(&plain), Ok(command(&bytes)));
        assert!(decode::<GroupCommand>(&plain[..plain.len() - 1]).is_err(), "{length} bytes");
    }
}

/// The shortest time of some runs.
fn shortest(mut run: impl FnMut()) -> Duration {
    let times = (0..ROUNDS).map(|_| {
        let began = Instant::now();
        run();
        began.elapsed()
    });
    times.min().unwrap_or_default()
}

/// A leader sends no heartbeats while it encodes a document.
#[test]
fn encode_and_decode_of_a_document_dont_go_byte_by_byte() {
    let bytes = vec![7; DOCUMENT_BYTES];
    let (whole, plain) = (command(&bytes), plain_command(&bytes));
    let encoded = encode(&whole).expect("an encoding");
    let by_byte = shortest(|| drop(encode(&plain)));
    let encoding = shortest(|| drop(encode(&whole)));
    assert!(encoding * MIN_RATIO < by_byte, "encoded in {encoding:?}, byte by byte {by_byte:?}");
    let decoding = shortest(|| drop(decode::<GroupCommand>(&encoded)));
    assert!(decoding * MIN_RATIO < by_byte, "decoded in {decoding:?}, byte by byte {by_byte:?}");
}
