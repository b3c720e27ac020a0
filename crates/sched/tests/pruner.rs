use stonegw_sched::pruner::*;

#[test]
fn the_toggle_has_hysteresis() {
    let mut p = Pruner::default();
    p.record_misses(2); // 1.8: not yet
    assert_eq!(p.overload_toggle, OverloadToggle::Off);
    p.record_misses(2); // 1.98: not yet
    p.record_misses(3); // 2.9: on
    assert_eq!(p.overload_toggle, OverloadToggle::On);
    p.record_misses(2); // 2.09: stays on
    assert_eq!(p.overload_toggle, OverloadToggle::On);
    p.record_misses(1); // 1.1: off
    assert_eq!(p.overload_toggle, OverloadToggle::Off);
}

#[test]
fn the_deferring_threshold_follows_the_design() {
    let mut p = Pruner::default();
    p.adjust_deferring_threshold(1, 5, 1, 0.9); // free slots outnumber the waiting
    assert!((p.deferring_threshold - 0.45).abs() < 1e-9);
    p.adjust_deferring_threshold(9, 1, 3, 0.9);
    assert!((p.deferring_threshold - 0.85).abs() < 1e-9);
    p.adjust_deferring_threshold(9, 1, 0, 0.9); // none pass
    assert!((p.deferring_threshold - 0.80).abs() < 1e-9);
    assert!(Pruner::drop_threshold(1.0, 0) < Pruner::drop_threshold(1.0, 3));
    assert!(Pruner::drop_threshold(-1.0, 0) > 0.59);
}
