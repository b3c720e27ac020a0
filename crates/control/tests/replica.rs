use stonegw_control::records::{End, JobRecord};
use stonegw_control::replica::*;

fn record(end: Option<End>) -> JobRecord {
    JobRecord {
        tasks: 1,
        at: 0,
        spec: None,
        end,
        seen: None,
    }
}

#[test]
fn late_answers_never_take_a_job_back() {
    let mut r = Replica::default();
    r.put_job("run-1", record(None), 5);
    r.put_job("run-1", record(Some(End::Cancelled)), 9);
    r.put_job("run-1", record(None), 5);
    assert_eq!(r.end_of("run-1"), Some(End::Cancelled));
    r.put_job("run-1", record(Some(End::Done)), 12);
    assert_eq!(r.end_of("run-1"), Some(End::Cancelled));
}

#[test]
fn a_cancellation_may_be_told_before_its_job_is_read() {
    let mut r = Replica::default();
    r.told_cancelled("run-1", 9);
    r.put_job("run-1", record(None), 5);
    assert_eq!(r.end_of("run-1"), Some(End::Cancelled));
    // What is read later says the same and changes nothing.
    r.put_job("run-1", record(Some(End::Cancelled)), 9);
    assert_eq!(r.end_of("run-1"), Some(End::Cancelled));
}

#[test]
fn who_lacks_a_cancellation_is_told_it() {
    let mut r = Replica::default();
    r.put_job("run-1", record(None), 4);
    r.put_job("run-2", record(Some(End::Cancelled)), 6);
    r.told_cancelled("run-1", 8);
    r.told_cancelled("run-3", 7);
    r.put_job("run-4", record(Some(End::Done)), 9);
    let lacks = |since| -> Vec<u64> { r.cancelled_since(since).map(|c| c.0).collect() };
    assert_eq!(lacks(0), [6, 7, 8]);
    assert_eq!(lacks(7), [8]);
    assert!(lacks(8).is_empty());
    assert!(lacks(u64::MAX).is_empty());
}
