use stonegw_constants::ADMISSION_LIMIT_MIN;
use stonegw_net::admission::AdmissionLimiter;

#[test]
fn the_limit_follows_the_measured_times() {
    let mut limiter = AdmissionLimiter::default();
    let start = limiter.limit();
    for t in 0..500 {
        assert!(limiter.try_admit(t * 10, None));
        limiter.record_completion(t * 10, 20);
    }
    let grown = limiter.limit();
    assert!(grown > start);
    for t in 0..20 {
        limiter.try_admit(0, None);
        limiter.record_completion(10_000 + t * 2_000, 1_500);
    }
    assert!(
        limiter.limit() < grown * 0.8,
        "{} of {grown}",
        limiter.limit()
    );
    assert!(limiter.limit() >= ADMISSION_LIMIT_MIN);
    let mut taken = 0;
    while limiter.try_admit(0, None) {
        taken += 1;
    }
    assert!((taken as f64 - limiter.limit()).abs() <= 1.0);
}

#[test]
fn no_status_query_is_rejected_again_and_again() {
    let mut limiter = AdmissionLimiter::default();
    while limiter.try_admit(0, None) {}
    // All places stay taken; a job's user asks every five seconds.
    let asked = (0..75_000).step_by(5_000);
    let answered = asked
        .filter(|t| limiter.try_admit(*t, Some("/submissions/run-1")))
        .count();
    assert!(answered >= 5, "{answered}");
    assert!(!limiter.try_admit(75_000, Some("/submissions/run-2")));
}

/// Users who ask many times as often must not keep submissions and cancellations out.
#[test]
fn a_storm_of_status_queries_leaves_capacity_for_submissions() {
    let mut limiter = AdmissionLimiter::default();
    let admitted = (0..10_000)
        .filter(|n| limiter.try_admit(0, Some(&format!("/submissions/run-{n}"))))
        .count();
    assert!(admitted > 0);
    assert!(
        limiter.try_admit(0, None),
        "a submission beside {admitted} status queries"
    );
}
