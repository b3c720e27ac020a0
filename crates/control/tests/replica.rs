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
