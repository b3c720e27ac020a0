//! Plays every trace: no rule may break, and what each expects must hold.
use std::path::PathBuf;

fn play_trace(name: &str) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(format!("traces/{name}.trace"));
    let text = std::fs::read_to_string(&path).expect("trace");
    let sim = stonegw_testkit::trace::play(&text);
    let has_failed = !sim.violations.is_empty() || !sim.expectation_failures.is_empty();
    if has_failed || std::env::var_os("SHOW_TRACE").is_some() {
        println!("{}", sim.log.join("\n"));
    }
    assert!(
        sim.violations.is_empty(),
        "{name}: broken {:#?}",
        sim.violations
    );
    assert!(
        sim.expectation_failures.is_empty(),
        "{name}: {:#?}",
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
            for entry in std::fs::read_dir(dir).expect("traces") {
                let path = entry.expect("entry").path();
                let name = path.file_stem().expect("name").to_string_lossy();
                assert!(known.contains(&name.as_ref()), "{name} is not played");
            }
        }
    };
}

traces!(
    small_jobs_beside_a_large_array,
    broken_jobs,
    broken_for_a_while,
    broken_gang,
    quiet_day,
    pause_leader_deposed,
    pause_leader_not_deposed,
    pause_clock_jumps,
    pause_followers,
    pause_in_election,
    all_silent_90_s,
    leader_ends_before_placement_is_stored,
    leader_ends_after_placement_is_stored,
    leader_ends_while_tasks_run,
    all_nodes_end_at_once,
    lost_transaction_answer,
    late_transaction,
    late_report,
    late_direct_command,
    cancel_races_a_start,
    node_refused_alone,
    state_outage,
    cut_machine,
    team_limit,
    zone_cut,
    old_session_report,
    run_waits_for_store,
    stale_node,
    stale_record,
    election_in_doubt,
    node_ends_before_submission_is_stored,
    half_deaf,
    late_copies,
    lone_controller,
    back_at_once,
    repeated_command,
    forgotten,
    large_job,
    huge_job,
    large_zone_cut,
    many_deaf,
    all_at_once,
    large_fleet,
    zone_cut_off,
    zone_cut_new_leader,
    gap_follower_refused,
    gap_leader_cut,
    gap_no_leader_yet,
    state_outage_beyond_cancel,
    gap_confirmer_ends,
    gap_confirmer_ends_for_long,
    gap_hung_machine,
    gap_late_confirmation,
    gap_leader_refused,
    gap_link_cut,
    gap_late_watch,
    gap_new_leader,
    gap_same_moment,
    all_nodes_away,
    cancel_meets_end,
    full_over_slow_links,
    hand_over_and_back,
    held_commands,
    late_writes,
    leader_ends_beside_unreached,
    limit_meets_new_leader,
    meetings_at_once,
    mute_machines,
    odd_requests,
    old_reports,
    slow_state,
    tasks_end_far_apart,
    ten_leaders,
    zone_jobs_lose_machines,
    gap_leader_cut_users,
    gap_before_new_leader,
    doubted_machine,
    kept_room_beside_work,
    kept_room_is_lent,
    odd_in_outage,
    odd_list,
    put_off_beside_room,
    waits_in_a_queue,
    array_starves_beside_replicas,
    gap_late_frames,
    gap_late_frames_and_end,
    gap_confirmer_alone,
    gap_confirmer_back_at_once,
    gap_confirmer_cut_off,
    gap_two_outages,
    gang_start,
    gang_submission_retried,
    gang_member_lost_while_gathering,
    gang_member_lost_while_running,
    gang_stopped_in_time,
    gang_stopped_too_late,
    gang_hung_member,
    gang_zone_cut,
    gang_leader_ends_between_placements,
    gang_leader_ends_before_start,
    gang_late_run_of_old_attempt,
    gang_team_limit,
    gang_cancelled_at_each_state,
    gangs_compete_for_room,
    gang_leader_change_while_running,
    gang_done_seen_by_half,
    gang_task_fails,
    gang_half_stored,
    gang_lost_before_start,
    gang_stop_unheard,
    gang_never_whole,
    state_limits_lowered,
    close_looks,
    lost_answers,
    new_machines_late_writes,
    small_jobs_cancelled,
    cancels_while_work_changes_hands,
    ten_leaders_in_outage,
    limits_meet_cancels,
    old_report_meets_new_leader,
    deposed_leaders_commands,
    gang_half_gathered_zone_cut,
    gang_cancel_meets_end,
    gang_late_reports,
    spot_machines,
    dated_work_waits_for_memory,
);
