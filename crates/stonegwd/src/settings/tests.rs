use super::platform::parse_platform_settings;
use super::tuning::parse_tuning;
use stonegw_control::settings::Tuning;

const VALID_SETTINGS: &str = r#"
    node = "a"
    site = "z"
    client_listen = "10.0.0.1:8080"
    cluster_listen = "10.0.0.1:8081"
    not_known_yet = 1
    [[known]]
    node = "b"
    site = "z"
    endpoint = "10.0.0.2:8081"
    [external]
    cloud = "10.2.0.2:8443"
    state = "10.2.0.1:2379"
    [deployment]
    zones = ["z"]
    [[deployment.teams]]
    name = "t"
    cpus = 1.0
    cpus_max = 2.0
    [[deployment.objectives]]
    kind = "finished"
    class = "c"
    within_s = 300.0
    share = 0.9
    [[deployment.objectives]]
    kind = "guarantee"
    share = 0.9
    [deployment.workers]
    report_s = 3.0
    lease_s = 24.0
    cancel_s = 54.0
    [deployment.state]
    rps = 150.0
    write_rps = 60.0
    value_kb = 8.0
    txn_ops = 32
    [deployment.cloud]
    rps = 1.5
    list_lag_s = 12.0
    [deployment.limits]
    max_sockets = 1500
"#;

#[test]
fn wrong_settings_name_the_field() {
    let Ok(good) = parse_platform_settings(VALID_SETTINGS, Tuning::default()) else {
        panic!("good settings are refused");
    };
    let promised: Vec<f64> = good.settings.slo_deadlines("c", 5.0).collect();
    assert_eq!(promised, [300.0]);
    for (from, to, field) in [
        ("node = \"a\"", "node = \"\"", "node"),
        ("rps = 150.0", "rps = -1.0", "deployment.state.rps"),
        (
            "lease_s = 24.0",
            "lease_s = nan",
            "deployment.workers.lease_s",
        ),
        ("txn_ops = 32", "txn_ops = 0", "deployment.state.txn_ops"),
        ("10.2.0.1:2379", "state:2379", "external.state"),
        (
            "report_s = 3.0",
            "",
            "deployment.workers: missing field `report_s`",
        ),
        (
            "cancel_s = 54.0",
            "cancel_s = true",
            "deployment.workers.cancel_s",
        ),
        ("node = \"b\"", "node = \"a\"", "known.node"),
        (
            "max_sockets = 1500",
            "max_sockets = 100",
            "deployment.limits.max_sockets",
        ),
        (
            "within_s = 300.0",
            "within_s = -1.0",
            "deployment.objectives.within_s",
        ),
    ] {
        let text = VALID_SETTINGS.replacen(from, to, 1);
        let why = parse_platform_settings(&text, Tuning::default())
            .err()
            .expect(field)
            .to_string();
        assert!(why.contains(field) && !why.contains('\n'), "{field}: {why}");
    }
}

fn store_limits_with_next(next: &str) -> Result<(f64, f64, usize, usize), String> {
    let to = format!("txn_ops = 32\n{next}");
    let text = VALID_SETTINGS.replacen("txn_ops = 32", &to, 1);
    let core = parse_platform_settings(&text, Tuning::default())
        .map_err(|error| error.to_string())?
        .settings;
    let rates = (core.store_requests_per_s, core.store_writes_per_s);
    Ok((
        rates.0,
        rates.1,
        core.max_value_bytes,
        core.max_transaction_writes,
    ))
}

/// The key-value store lowers its limits at an unannounced time: a controller that kept to the present
/// ones until then would be refused in the middle of its work.
#[test]
fn the_lower_of_present_and_next_limits_holds() {
    let none = (150.0, 60.0, 8192, 32);
    assert_eq!(store_limits_with_next(""), Ok(none));
    assert_eq!(store_limits_with_next("[deployment.state.next]"), Ok(none));
    let all =
        "[deployment.state.next]\nrps = 100.0\nwrite_rps = 18.0\nvalue_kb = 2.0\ntxn_ops = 4\n";
    assert_eq!(store_limits_with_next(all), Ok((100.0, 18.0, 2048, 4)));
    let some = "next = { value_kb = 2.0, rps = 200.0, txn_ops = 64, later = 1 }";
    assert_eq!(store_limits_with_next(some), Ok((150.0, 60.0, 2048, 32)));
}

#[test]
fn wrong_next_limits_name_the_field() {
    for (next, field) in [
        ("rps = 0.0", "deployment.state.next.rps"),
        ("write_rps = nan", "deployment.state.next.write_rps"),
        ("value_kb = -2.0", "deployment.state.next.value_kb"),
        ("txn_ops = 0", "deployment.state.next.txn_ops"),
        ("txn_ops = true", "deployment.state.next.txn_ops"),
    ] {
        let why = store_limits_with_next(&format!("next = {{ {next} }}")).expect_err(field);
        assert!(why.contains(field) && !why.contains('\n'), "{field}: {why}");
    }
}

#[test]
fn the_operators_file_is_strict() {
    let t = parse_tuning("spare_tasks = 4\nidle_boots = 1.5\n").unwrap();
    assert_eq!((t.headroom_tasks, t.idle_retention_boots), (4.0, 1.5));
    assert!(parse_tuning("spare_task = 4\n").is_err());
    assert!(parse_tuning("slack_use = 0\n")
        .unwrap_err()
        .to_string()
        .contains("slack_use"));
    assert_eq!(
        parse_tuning("").unwrap().scheduling_interval_ms,
        Tuning::default().scheduling_interval_ms
    );
}

/// Guests have neither a quota nor a limit: 0 in both means none. Taken as a limit of nothing, it had
/// all their jobs refused as infeasible.
#[test]
fn a_team_without_limits_is_a_guest_and_uses_what_is_left() {
    let limits = |cpus_max: f64, gpus_max: f64| {
        let to = format!("cpus_max = {cpus_max:?}\n    gpus_max = {gpus_max:?}");
        let text = VALID_SETTINGS.replacen("cpus_max = 2.0", &to, 1);
        let loaded = parse_platform_settings(&text, Tuning::default()).expect("good settings");
        let team = &loaded.settings.teams[0];
        (team.limit_cpus, team.limit_gpus)
    };
    assert_eq!(limits(0.0, 0.0), (f64::INFINITY, f64::INFINITY));
    // A team with a limit on one of the two has none of the other.
    assert_eq!(limits(2.0, 0.0), (2.0, 0.0));
    assert_eq!(limits(0.0, 3.0), (0.0, 3.0));
}
