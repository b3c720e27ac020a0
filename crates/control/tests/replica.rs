use stonegw_control::records::{JobEnd, JobRecord};
use stonegw_control::replica::*;

fn record(end: Option<JobEnd>) -> JobRecord {
    JobRecord {
        tasks: 1,
        submitted_at_ms: 0,
        spec: None,
        end,
        observed_run_times: None,
    }
}

#[test]
fn late_answers_never_revert_a_job() {
    let mut r = Replica::default();
    r.put_job("run-1", record(None), 5);
    r.put_job("run-1", record(Some(JobEnd::Cancelled)), 9);
    r.put_job("run-1", record(None), 5);
    assert_eq!(r.end_of("run-1"), Some(JobEnd::Cancelled));
    r.put_job("run-1", record(Some(JobEnd::Done)), 12);
    assert_eq!(r.end_of("run-1"), Some(JobEnd::Cancelled));
}

#[test]
fn a_cancellation_may_be_announced_before_its_job_is_read() {
    let mut r = Replica::default();
    r.apply_announced_cancellation("run-1", 9);
    r.put_job("run-1", record(None), 5);
    assert_eq!(r.end_of("run-1"), Some(JobEnd::Cancelled));
    // What is read later says the same and changes nothing.
    r.put_job("run-1", record(Some(JobEnd::Cancelled)), 9);
    assert_eq!(r.end_of("run-1"), Some(JobEnd::Cancelled));
}

#[test]
fn cancelled_since_lists_what_a_peer_lacks() {
    let mut r = Replica::default();
    r.put_job("run-1", record(None), 4);
    r.put_job("run-2", record(Some(JobEnd::Cancelled)), 6);
    r.apply_announced_cancellation("run-1", 8);
    r.apply_announced_cancellation("run-3", 7);
    r.put_job("run-4", record(Some(JobEnd::Done)), 9);
    let lacks = |since| -> Vec<u64> { r.cancellations_since(since).map(|c| c.0).collect() };
    assert_eq!(lacks(0), [6, 7, 8]);
    assert_eq!(lacks(7), [8]);
    assert!(lacks(8).is_empty());
    assert!(lacks(u64::MAX).is_empty());
}
