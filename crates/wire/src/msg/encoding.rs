//! MessagePack encoding and decoding of message bodies.
use serde::{de::DeserializeOwned, Serialize};
use std::io::{Cursor, Write};
use thiserror::Error;

/// Why a body cannot be decoded. Controllers send the text in the body of their 400 responses.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// The body is not a MessagePack map.
    #[error("not a map")]
    NotAMap,
    /// A field is missing or has the wrong type, or the body is cut short; the text is the decoder's
    /// and names missing fields.
    #[error(transparent)]
    InvalidField(#[from] rmp_serde::decode::Error),
    /// More bytes follow the map.
    #[error("trailing bytes")]
    TrailingBytes,
}

/// Encodes one body as a MessagePack map with field names.
///
/// # Panics
///
/// If `T` has no MessagePack form; every message type of this crate has one.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(value).expect("message types always encode")
}

/// Decodes one body, which must be a single map.
///
/// # Errors
///
/// A list is refused although MessagePack decoders accept one for a struct: its elements would be
/// taken for the fields in turn. Bytes after the map are refused as well.
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

/// Counts the bytes written to it and keeps none.
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

/// Bytes of the value as JSON: the size in which the platform counts its limits.
pub fn json_size_bytes<T: Serialize>(value: &T) -> usize {
    let mut counter = ByteCounter(0);
    match serde_json::to_writer(&mut counter, value) {
        Ok(()) => counter.0,
        Err(_) => usize::MAX,
    }
}
