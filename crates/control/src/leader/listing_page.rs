//! Reads one page of a listing of the state service.
use stonegw_wire::msg::{decode, DecodeError, Entry, ListPage};

/// A page of a listing, and after which key the next begins if there is one.
pub(super) type Page<V> = (Vec<Entry<V>>, Option<String>);

/// The page in the body of an answer.
pub(super) fn page<V: serde::de::DeserializeOwned>(body: &[u8]) -> Result<Page<V>, DecodeError> {
    let l: ListPage<V> = decode(body)?;
    let last = l.entries.last().map(|e| e.key.clone());
    Ok((l.entries, last.filter(|_| l.has_more)))
}
