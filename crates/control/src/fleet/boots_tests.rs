use super::*;

fn machine_type() -> MachineType {
    MachineType {
        name: "small".into(),
        cpus: 4.0,
        gpus: 0.0,
        memory_gb: 16.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: None,
        boot_s: 50.0,
        zones: vec!["a".into(), "b".into()],
    }
}

#[test]
fn boots_are_learnt_by_zone() {
    let (mut boots, machine_type) = (BootTimes::default(), machine_type());
    assert_eq!(boots.expected_s(&machine_type, "a"), 50.0);
    for _ in 0..40 {
        boots.record(&machine_type, "a", 120.0);
    }
    assert!((boots.expected_s(&machine_type, "a") - 120.0).abs() < 5.0);
    assert_eq!(boots.expected_s(&machine_type, "b"), 50.0);
}

/// Quick boots shorten what is expected, but not the wait for a machine that is slow: given up and rented
/// anew it would be paid for twice.
#[test]
fn quick_boots_shorten_no_wait() {
    let (mut boots, machine_type) = (BootTimes::default(), machine_type());
    for _ in 0..40 {
        boots.record(&machine_type, "a", 2.0);
    }
    assert!(boots.expected_s(&machine_type, "a") < 10.0);
    assert_eq!(boots.patient_s(&machine_type, "a"), 50.0);
}

/// Machines that never come up lengthen the wait only so far.
#[test]
fn the_wait_is_bounded() {
    let (mut boots, machine_type) = (BootTimes::default(), machine_type());
    for _ in 0..400 {
        boots.record(&machine_type, "a", 10_000.0);
    }
    let most = 50.0 * k::BOOT_MOST_RATIO;
    assert!(boots.patient_s(&machine_type, "a") <= most);
}
