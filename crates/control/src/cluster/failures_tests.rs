use super::*;
use rand::SeedableRng;
use stonegw_constants::{
    BROKEN_JOB_MIN_MACHINES, START_BACKOFF_JITTER_DIVISOR, START_BACKOFF_MAX_MS, START_BACKOFF_MS,
};

#[test]
fn waits_double_up_to_a_limit_and_differ_between_jobs() {
    let waits = |seed| {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut failures = Failures::default();
        (0..10)
            .map(|_| failures.next_backoff_ms(&mut rng))
            .collect::<Vec<Millis>>()
    };
    for (round, wait) in waits(1).into_iter().enumerate() {
        let most = (START_BACKOFF_MS << (round + 1)).min(START_BACKOFF_MAX_MS);
        let least = most - most / START_BACKOFF_JITTER_DIVISOR;
        assert!((least..=most).contains(&wait), "round {round}: {wait} ms");
    }
    assert_ne!(waits(1), waits(2));
}

#[test]
fn a_job_that_fails_everywhere_avoids_no_machine() {
    let mut failures = Failures::default();
    failures.record_failure("host-0");
    failures.record_failure("host-0");
    assert!(failures.avoids("host-0") && !failures.avoids("host-1"));
    for n in 1..BROKEN_JOB_MIN_MACHINES {
        assert!(!failures.job_is_broken());
        failures.record_failure(&format!("host-{n}"));
    }
    assert!(failures.job_is_broken());
    assert!(!failures.avoids("host-0") && !failures.avoids_any());
    failures.record_success();
    assert!(!failures.job_is_broken());
}

#[test]
fn a_machine_that_failed_stays_avoided_once_the_job_succeeds_elsewhere() {
    let mut failures = Failures::default();
    failures.record_failure("host-0");
    failures.record_success();
    assert!(failures.avoids("host-0"));
    for n in 1..=BROKEN_JOB_MIN_MACHINES {
        failures.record_failure(&format!("host-{n}"));
    }
    assert!(failures.avoids("host-0") && !failures.job_is_broken());
}
