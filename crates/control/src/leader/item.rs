//! What one transaction changes, and the key of each such change.
use super::*;

/// A machine's name and an attempt on it.
pub type On = (String, u64);

/// What of the store one transaction changes, to be marked when its answer comes.
#[derive(Clone, Debug)]
pub enum Item {
    /// The unstored attempts that the record now holds.
    Shard {
        shard: u32,
        new: Vec<On>,
    },
    ShardGone {
        shard: u32,
    },
    Done {
        job: String,
        chunk: u32,
        exits: Vec<On>,
    },
    End {
        job: String,
        exits: Vec<On>,
    },
    DropDone {
        key: String,
    },
}

/// The key of the record that an item changes.
pub(super) fn item_key(item: &Item) -> String {
    match item {
        Item::Shard { shard, .. } | Item::ShardGone { shard } => shard_key(*shard),
        Item::Done { job, chunk, .. } => done_key(job, *chunk),
        Item::End { job, .. } => records::job_key(job),
        Item::DropDone { key } => key.clone(),
    }
}
