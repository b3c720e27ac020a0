//! Encodes and decodes message bodies as MessagePack.
use serde::{de::DeserializeOwned, Serialize};
use std::io::{Cursor, Write};
use thiserror::Error;

/// The reason why a body cannot be decoded. Controllers send its text in the body of 400 responses.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// The body is not a MessagePack map.
    #[error("not a map")]
    NotAMap,
    /// A field is missing or has the wrong type, or the body is truncated. The text comes from the
    /// decoder and names missing fields.
    #[error(transparent)]
    InvalidField(#[from] rmp_serde::decode::Error),
    /// More bytes follow the map.
    #[error("trailing bytes")]
    TrailingBytes,
}

/// Encodes a value as a MessagePack map with field names.
///
/// # Panics
///
/// Panics if `T` cannot be encoded as MessagePack; all message types of this crate can.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(value).expect("message types can always be encoded")
}

/// Decodes a body, which must be a single map.
///
/// # Errors
///
/// Returns an error if the body is not a valid map or if more bytes follow the map. A list is
/// rejected explicitly, because the decoder would accept a list in place of a struct and assign the
/// elements to the fields in order.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, DecodeError> {
    let is_map = matches!(body.first(), Some(0x80..=0x8f | 0xde | 0xdf));
    if !is_map {
        return Err(DecodeError::NotAMap);
    }
    let mut deserializer = rmp_serde::Deserializer::new(Cursor::new(body));
    let value = T::deserialize(&mut deserializer)?;
    if deserializer.position() != body.len() as u64 {
        return Err(DecodeError::TrailingBytes);
    }
    Ok(value)
}

/// A writer that counts the bytes written to it and discards them.
struct ByteCounter(usize);

impl Write for ByteCounter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0 += bytes.len();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Returns the size of the value as JSON in bytes, which is how the platform measures its size
/// limits. A value without a JSON form counts as `usize::MAX`.
pub fn json_size_bytes<T: Serialize>(value: &T) -> usize {
    let mut counter = ByteCounter(0);
    match serde_json::to_writer(&mut counter, value) {
        Ok(()) => counter.0,
        Err(_) => usize::MAX,
    }
}
