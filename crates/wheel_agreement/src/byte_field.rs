//! Serializes bytes as a whole instead of one by one, which takes a large share of the time of a large document. The
//! encoding is that of a sequence.

use std::fmt;
use std::sync::Arc;

use serde::de::{Error, Visitor};
use serde::{Deserializer, Serializer};

pub(crate) fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(bytes)
}

pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Arc<[u8]>, D::Error> {
    deserializer.deserialize_bytes(ByteVisitor)
}

struct ByteVisitor;

impl Visitor<'_> for ByteVisitor {
    type Value = Arc<[u8]>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("bytes")
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Self::Value, E> {
        Ok(bytes.into())
    }
}
