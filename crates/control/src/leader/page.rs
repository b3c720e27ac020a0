//! Reads one page of a listing of the state service.
use stonegw_wire::msg::{decode, Entry, Listing};

/// A page of a listing, and after which key the next begins if there is one.
pub(super) type Page<V> = (Vec<Entry<V>>, Option<String>);

/// The page in the body of an answer.
pub(super) fn page<V: serde::de::DeserializeOwned>(body: &[u8]) -> Result<Page<V>, String> {
    let l: Listing<V> = decode(body)?;
    let last = l.items.last().map(|e| e.key.clone());
    Ok((l.items, last.filter(|_| l.more)))
}
