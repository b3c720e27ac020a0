//! Where a new leader has got to with loading the stored records.
use crate::api::Millis;
use crate::records::{MACHINE_GROUPS_PREFIX, RESULT_CHUNKS_PREFIX};
use stonegw_constants::LIST_PAGE_ENTRIES;

/// The page of records to be read next: first the machine groups, then the result chunks.
#[derive(Debug)]
pub(super) struct LoadCursor {
    /// What is being listed.
    pub(super) prefix: &'static str,
    /// The last key of the page before.
    after: Option<String>,
    /// The page was requested and has not arrived.
    pub(super) request_in_flight: bool,
    /// The page is not requested before.
    pub(super) not_before: Millis,
}

impl LoadCursor {
    /// The first page of all.
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

    /// The path of the request for the page.
    pub(super) fn path(&self) -> String {
        let path = format!("/kv?prefix={}&limit={LIST_PAGE_ENTRIES}", self.prefix);
        match &self.after {
            Some(after) => format!("{path}&since={after}"),
            None => path,
        }
    }

    /// The page that follows; `last_key`: the last key of this one, if the listing goes on.
    /// `None`: all is read.
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
