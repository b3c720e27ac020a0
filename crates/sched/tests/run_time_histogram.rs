use stonegw_sched::run_time_histogram::RunTimeHistogram;

#[test]
fn observations_outweigh_a_wrong_estimate() {
    let mut histogram = RunTimeHistogram::from_estimate(100.0, 1.0);
    assert!((histogram.mean_s() - 110.0).abs() < 15.0);
    for _ in 0..20 {
        histogram.record_run(30.0);
    }
    assert!(histogram.mean_s() < 45.0);
    assert!(histogram.cumulative().0[12] > 0.85);
}

#[test]
fn remaining_time_excludes_the_elapsed_time() {
    let mut histogram = RunTimeHistogram::from_estimate(100.0, 1.0);
    assert!(histogram.remaining_after(0.0).mean_s() > 100.0);
    let remaining = histogram.remaining_after(140.0);
    assert!(remaining.mean_s() < 50.0);
    assert!((remaining.0.iter().sum::<f32>() - 1.0).abs() < 1e-3);
    assert!(histogram.remaining_after(1000.0).mean_s() > 100.0);
}
