//! Plays every trace in `traces/`: no rule may be broken, and every expectation must hold.
use std::path::PathBuf;

fn play_trace(name: &str) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(format!("traces/{name}.trace"));
    let text = std::fs::read_to_string(&path).expect("a readable trace file");
    let sim = stonegw_testkit::trace::play(&text);
    let has_failed = !sim.violations.is_empty() || !sim.expectation_failures.is_empty();
    if has_failed || std::env::var_os("SHOW_TRACE").is_some() {
        println!("{}", sim.log.join("\n"));
    }
    assert!(
        sim.violations.is_empty(),
        "{name}: broken rules: {:#?}",
        sim.violations
    );
    assert!(
        sim.expectation_failures.is_empty(),
        "{name}: failed expectations: {:#?}",
        sim.expectation_failures
    );
}

macro_rules! traces {
    ($($test:ident),* $(,)?) => {
        $(#[test]
        fn $test() {
            play_trace(stringify!($test));
        })*

        #[test]
        fn every_trace_is_played() {
            let known = [$(stringify!($test)),*];
            let dir = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("traces");
            for entry in std::fs::read_dir(dir).expect("the folder of traces") {
                let path = entry.expect("a folder entry").path();
                let name = path.file_stem().expect("a file name").to_string_lossy();
                assert!(known.contains(&name.as_ref()), "{name}.trace is not in the list of traces");
            }
        }
    };
}

traces!(
    small_jobs_beside_a_large_array,
    failing_arrays,
    tasks_fail_then_succeed,
    failing_gang,
    no_faults,
    pause_leader_deposed,
    pause_leader_not_deposed,
    pause_clock_jumps,
    pause_followers,
    pause_in_election,
    all_nodes_paused_90_s,
    leader_crash_before_placement_is_stored,
    leader_crash_after_placement_is_stored,
    leader_crash_while_tasks_run,
    all_nodes_crash_at_once,
    dropped_transaction_response,
    stale_transaction,
    delayed_heartbeat,
    delayed_direct_command,
    cancel_races_start,
    leader_refused_by_store,
    store_outage,
    machine_partition,
    team_limit,
    zone_partition,
    heartbeat_of_old_incarnation,
    start_waits_for_stored_placement,
    stale_node,
    stale_record,
    election_response_lost,
    node_crash_before_submission_is_stored,
    unreachable_machine_sends_heartbeats,
    duplicate_heartbeats,
    isolated_leader,
    nodes_restart_within_a_second,
    duplicate_direct_command,
    outage_with_restarts,
    large_job_starvation,
    largest_job,
    large_zone_partition,
    many_unreachable_machines,
    many_faults_on_large_fleet,
    large_fleet,
    isolated_zone,
    zone_partition_leader_crash,
    cancel_outage_follower_refused,
    cancel_outage_leader_isolated,
    cancel_outage_without_leader,
    store_outage_beyond_cancel_deadline,
    cancel_outage_confirmer_crash,
    cancel_outage_confirmer_crash_for_long,
    cancel_outage_hung_machines,
    cancel_outage_slow_confirmation,
    cancel_outage_leader_refused,
    cancel_outage_confirmer_without_leader_link,
    cancel_outage_stale_watch,
    cancel_outage_new_leader,
    cancel_outage_simultaneous,
    all_nodes_down_longer_than_lease,
    cancel_races_end,
    overload_with_high_latency,
    repeated_leader_changes,
    delayed_commands,
    delayed_transactions,
    leader_crash_with_unreachable_machines,
    limit_during_leader_change,
    many_faults_at_once,
    dropped_heartbeats,
    invalid_requests,
    stale_heartbeats,
    slow_store,
    tasks_end_far_apart,
    ten_leader_changes,
    zone_jobs_lose_machines,
    cancel_outage_leader_without_links,
    cancel_outage_leader_crash,
    suspected_machine_is_probed,
    reservation_released_after_start,
    reservation_allows_backfill,
    invalid_submissions_in_outage,
    submission_body_is_list,
    deferred_tasks_beside_free_machine,
    queued_task_beside_empty_machine,
    array_starved_by_replicas,
    cancel_outage_delayed_frames,
    cancel_outage_delayed_frames_and_crash,
    cancel_outage_confirmer_isolated_briefly,
    cancel_outage_confirmer_restart,
    cancel_outage_confirmer_without_links,
    cancel_outage_twice,
    gang_start,
    gang_submission_retried,
    gang_member_lost_while_waiting,
    gang_member_lost_while_running,
    gang_preempted_with_checkpoint,
    gang_preempted_with_failed_checkpoint,
    gang_member_hangs,
    gang_zone_partition,
    gang_leader_crash_between_placements,
    gang_leader_crash_before_start,
    gang_duplicate_start_of_old_attempt,
    gang_team_limit,
    gang_cancelled_in_each_state,
    gangs_compete_for_machines,
    gang_leader_change_while_running,
    gang_done_reported_by_one_machine,
    gang_task_fails,
    gang_partly_stored,
    gang_machine_evicted_before_start,
    gang_stop_with_unreachable_member,
    gang_without_capacity_reserves_nothing,
    store_limits_lowered,
    read_after_write,
    dropped_responses,
    new_machines_delayed_transactions,
    small_jobs_cancelled,
    cancel_during_leader_change,
    ten_leader_changes_in_outage,
    limits_with_cancellations,
    stale_heartbeat_reaches_new_leader,
    deposed_leader_commands_arrive_late,
    gang_partly_waiting_zone_partition,
    gang_cancel_races_end,
    gang_delayed_heartbeats,
    spot_machines,
    deadline_array_waits_for_memory,
    cancelled_start_held_in_zone_partition,
    cancelled_start_lost_in_zone_partition,
    cancelled_start_is_rejected,
    cancelled_start_held_over_leader_change,
    cancelled_gang_start_held_in_zone_partition,
    duplicate_starts,
    duplicate_starts_after_leader_restart,
    duplicate_starts_after_all_nodes_restart,
    duplicate_starts_after_worker_restart,
    duplicate_start_of_moved_task_after_worker_reset,
    duplicate_start_of_cancelled_task_after_worker_reset,
    duplicate_starts_after_worker_reset_and_leader_restart,
    duplicate_start_after_worker_reset_in_partition,
    duplicate_start_of_moved_task_after_worker_reset_in_partition,
    duplicate_start_before_reset_worker_is_answered,
);
