//! MessagePack encoding and decoding of message bodies.
use serde::{de::DeserializeOwned, Serialize};

/// Encodes one body as a MessagePack map with field names.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(value).expect("message types always encode")
}

/// Decodes one body; trailing bytes are an error.
/// Every body is a map; a list, whose elements could be taken for the fields in turn, is none.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    if !matches!(body.first(), Some(0x80..=0x8f | 0xde | 0xdf)) {
        return Err("not a map".into());
    }
    let mut de = rmp_serde::Deserializer::new(std::io::Cursor::new(body));
    let value = T::deserialize(&mut de).map_err(|e| e.to_string())?;
    if de.position() != body.len() as u64 {
        return Err("trailing bytes".into());
    }
    Ok(value)
}

/// The size in which the platform counts its limits.
pub fn json_size_bytes<T: Serialize>(value: &T) -> usize {
    struct ByteCounter(usize);
    impl std::io::Write for ByteCounter {
        fn write(&mut self, b: &[u8]) -> std::io::Result<usize> {
            self.0 += b.len();
            Ok(b.len())
        }
        fn flush(&mut self) -> std::io::Result<()> {
            Ok(())
        }
    }
    let mut count = ByteCounter(0);
    match serde_json::to_writer(&mut count, value) {
        Ok(()) => count.0,
        Err(_) => usize::MAX,
    }
}
