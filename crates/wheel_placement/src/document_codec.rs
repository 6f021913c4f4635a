//! Encodes a document by what differs from one that the receiver holds.

use std::io::{self, Read, Write};

use zstd::stream::{read, write};

/// Level of compression. Higher ones take several times as long for a few bytes less.
const LEVEL: i32 = 3;
/// Smallest and largest window, as powers of two. The window has to reach back over the base.
const MIN_WINDOW_LOG: u32 = 10;
const MAX_WINDOW_LOG: u32 = 26;

/// Compresses `document`, with references into `base`. The same inputs give the same bytes.
///
/// # Errors
/// The compression failed.
pub(crate) fn encode_document(base: &[u8], document: &[u8]) -> io::Result<Vec<u8>> {
    let window = (base.len() + document.len()).max(1).next_power_of_two().ilog2();
    let mut encoder = write::Encoder::with_ref_prefix(Vec::new(), LEVEL, base)?;
    encoder.window_log(window.clamp(MIN_WINDOW_LOG, MAX_WINDOW_LOG))?;
    encoder.long_distance_matching(!base.is_empty())?;
    encoder.include_checksum(true)?;
    encoder.set_pledged_src_size(Some(document.len() as u64))?;
    encoder.write_all(document)?;
    encoder.finish()
}

/// Restores a document of `size` bytes that was encoded with the same `base`.
///
/// # Errors
/// The bytes are broken, or were encoded with another base.
pub(crate) fn decode_document(base: &[u8], encoded: &[u8], size: usize) -> io::Result<Vec<u8>> {
    let mut decoder = read::Decoder::with_ref_prefix(encoded, base)?;
    decoder.window_log_max(MAX_WINDOW_LOG)?;
    let mut document = Vec::with_capacity(size);
    decoder.take(size as u64 + 1).read_to_end(&mut document)?;
    match document.len() == size {
        true => Ok(document),
        false => Err(io::Error::other("the document has another size than announced")),
    }
}
