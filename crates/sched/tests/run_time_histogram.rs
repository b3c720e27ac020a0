use stonegw_sched::run_time_histogram::*;

#[test]
fn observations_outweigh_a_wrong_estimate() {
    let mut r = RunTimeHistogram::from_estimate(100.0, 1.0);
    assert!((r.mean_s() - 110.0).abs() < 15.0);
    for _ in 0..20 {
        r.record_run(30.0);
    }
    assert!(r.mean_s() < 45.0);
    assert!(r.cumulative().0[12] > 0.85);
}

#[test]
fn what_is_left_forgets_what_has_passed() {
    let mut r = RunTimeHistogram::from_estimate(100.0, 1.0);
    assert!(r.remaining_after(0.0).mean_s() > 100.0);
    let l = r.remaining_after(140.0);
    assert!(l.mean_s() < 50.0);
    assert!((l.0.iter().sum::<f32>() - 1.0).abs() < 1e-3);
    assert!(r.remaining_after(1000.0).mean_s() > 100.0);
}
