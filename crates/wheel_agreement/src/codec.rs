//! The encoding of messages, records and commands.

use std::fmt;

use serde::{Serialize, de::DeserializeOwned};

/// Why bytes couldn't be decoded or a value couldn't be encoded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CodecError(postcard::Error);

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "not in the encoding of messages and records: {}", self.0)
    }
}

impl std::error::Error for CodecError {}

/// Encodes a message, record, command or snapshot.
///
/// # Errors
/// [`CodecError`] if the value has no encoding; this crate's types all have one.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, CodecError> {
    postcard::to_stdvec(value).map_err(CodecError)
}

/// Decodes what [`encode`] made.
///
/// # Errors
/// [`CodecError`] if the bytes are cut off, too long or of another type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    match postcard::take_from_bytes(bytes) {
        Ok((value, [])) => Ok(value),
        Ok((_, _)) => Err(CodecError(postcard::Error::SerdeDeCustom)),
        Err(error) => Err(CodecError(error)),
    }
}
