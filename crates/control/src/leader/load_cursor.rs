//! The position of a new leader in the stored records that it loads.
use crate::api::Millis;
use crate::records::{MACHINE_GROUPS_PREFIX, RESULT_CHUNKS_PREFIX};
use stonegw_constants::LIST_PAGE_ENTRIES;

/// The page of records to read next: the machine groups come first, then the result chunks.
#[derive(Debug)]
pub(super) struct LoadCursor {
    /// The key prefix of the records that are listed.
    pub(super) prefix: &'static str,
    /// The last key of the previous page.
    after: Option<String>,
    /// Whether the page was requested and has not arrived yet.
    pub(super) request_in_flight: bool,
    /// The earliest time at which the page is requested.
    pub(super) not_before: Millis,
}

impl LoadCursor {
    /// Returns the cursor of the very first page.
    pub(super) fn at_machine_groups(now: Millis) -> LoadCursor {
        LoadCursor::at_page(MACHINE_GROUPS_PREFIX, None, now)
    }

    fn at_page(prefix: &'static str, after: Option<String>, now: Millis) -> LoadCursor {
        LoadCursor {
            prefix,
            after,
            request_in_flight: false,
            not_before: now,
        }
    }

    /// Returns the path of the request for the page.
    pub(super) fn path(&self) -> String {
        let path = format!("/kv?prefix={}&limit={LIST_PAGE_ENTRIES}", self.prefix);
        match &self.after {
            Some(after) => format!("{path}&since={after}"),
            None => path,
        }
    }

    /// Returns the cursor of the next page, or `None` if this page was the last. `last_key` is the
    /// last key of this page, or `None` if the prefix has no more pages.
    pub(super) fn next(&self, last_key: Option<String>, now: Millis) -> Option<LoadCursor> {
        match last_key {
            Some(last_key) => Some(LoadCursor::at_page(self.prefix, Some(last_key), now)),
            None if self.prefix == MACHINE_GROUPS_PREFIX => {
                Some(LoadCursor::at_page(RESULT_CHUNKS_PREFIX, None, now))
            }
            None => None,
        }
    }
}
