use stonegw_sched::placement_estimate::*;

#[test]
fn best_chance_first_then_soonest_finish() {
    let (a, b) = (
        PlacementScore {
            on_time_probability: 0.9,
            expected_finish_s: 50.0,
            cpu_headroom: 0.0,
            price_per_cpu: 1.0,
        },
        PlacementScore {
            on_time_probability: 0.5,
            expected_finish_s: 10.0,
            cpu_headroom: 0.0,
            price_per_cpu: 1.0,
        },
    );
    assert!(a.is_better_than(&b) && !b.is_better_than(&a));
    assert_eq!(earliest_finish([(1, a), (2, b)].into_iter()).unwrap().0, 2);
}
