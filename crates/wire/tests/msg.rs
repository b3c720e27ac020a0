use stonegw_wire::msg::*;

pub fn sample_job_spec() -> JobSpec {
    JobSpec {
        id: "run-000412".into(),
        class: "train".into(),
        team: "vision".into(),
        kind: JobKind::Array,
        priority: Priority::High,
        task_count: 16,
        cpus: 8.0,
        gpus: 0.0,
        memory_gb: 64.0,
        image: "img-07".into(),
        image_size_gb: 6.2,
        machine_types: None,
        zone: None,
        requires_single_zone: true,
        spreads_across_zones: false,
        allows_spot: true,
        estimated_run_time_s: 240.0,
        checkpoint_interval_s: 30.0,
        checkpoint_duration_s: 4.0,
        deadline_s: Some(900.0),
    }
}

#[test]
fn submissions_are_checked_field_by_field() {
    assert_eq!(
        JobSpec::parse(&encode(&sample_job_spec())).unwrap(),
        sample_job_spec()
    );
    type Corruption = fn(&mut JobSpec);
    let bad: [(&str, Corruption); 7] = [
        ("uid", |s| s.id = "job-1".into()),
        ("pieces", |s| s.task_count = 0),
        ("pieces", |s| s.task_count = MAX_TASKS + 1),
        ("cpus", |s| s.cpus = -1.0),
        ("memGb", |s| s.memory_gb = f64::NAN),
        ("dueS", |s| s.deadline_s = Some(f64::INFINITY)),
        ("crew", |s| s.team.clear()),
    ];
    for (field, spoil) in bad {
        let mut s = sample_job_spec();
        spoil(&mut s);
        let err = JobSpec::parse(&encode(&s)).unwrap_err();
        assert!(err.starts_with(field), "{field}: {err}");
    }
    let mut cut = encode(&sample_job_spec());
    cut.pop();
    assert!(JobSpec::parse(&cut).is_err());
    assert!(JobSpec::parse(&[0x93, 1, 2, 3]).is_err());
    assert!(JobSpec::parse(b"").is_err());
}
