#!/usr/bin/env bash
# Mutation tests. Each one removes one guard from a copy of the sources and checks that a trace then
# breaks a rule, or that a test then fails. CI does not run this script, because it builds once for
# each guard. Run it after a change of a guard, a trace or a test that it names.
#
# usage: mutants.sh [NAME ...]
#
# With names, only the guards of these traces and tests are checked. MUTANTS_DIR is the folder of
# the copy (default target/mutants); runs with different folders can execute at the same time.
#
# Each guard prints one line: "ok" (the removal was detected), "ALIVE" (the trace or test passes
# without the guard) or "STALE" (the pattern matches no source code).
set -euo pipefail
root="$(cd "$(dirname "$0")/../.." && pwd)"
copy="${MUTANTS_DIR:-$root/target/mutants}"
mkdir -p "$copy"
copy="$(cd "$copy" && pwd)"
rm -rf "$copy/crates"
cp -r "$root/crates" "$root/Cargo.toml" "$root/Cargo.lock" "$copy/"
failed=0
selected=" $* "
changed=()
# Returns whether the guards of a trace or test are to be checked. Argument: trace or test.
is_selected() {
    [ "$selected" = "  " ] || [[ "$selected" == *" $1 "* ]]
}
# Removes a guard from the copy. Fails if a file does not contain the guard.
# Arguments: trace or test, crate, files, perl substitution.
remove_guard() {
    # Restores only the files of the previous guard, so that cargo rebuilds only what depends on
    # them.
    for path in "${changed[@]}"; do cp "$root/$path" "$copy/$path"; done
    changed=()
    for file in $3; do
        path="crates/$2/src/$file"
        changed+=("$path")
        perl -0pi -e "$4" "$copy/$path"
        if cmp -s "$copy/$path" "$root/$path"; then
            echo "STALE  $1: the pattern of the guard matches nothing in $file"; failed=1; return 1
        fi
    done
}
# Removes a guard of the control crate and checks that the trace then breaks the rule. With the rule
# "expect", an expectation of the trace, or a test of the testkit crate, must fail instead.
# Arguments: trace or test, rule, files, perl substitution.
mutant() {
    is_selected "$1" && remove_guard "$1" control "$3" "$4" || return 0
    out="$(cd "$copy" && CARGO_TARGET_DIR="$copy/target" cargo test -q --locked -p stonegw-testkit --tests "$1" 2>&1 || true)"
    # The simulation logs a broken rule as "BROKEN" and its name. A failed expectation panics.
    if grep -q "BROKEN $2" <<<"$out" || { [ "$2" = expect ] && grep -q "panicked" <<<"$out"; }; then echo "ok     $1 breaks $2 without its guard"
    else echo "ALIVE  $1 does not break $2"; tail -5 <<<"$out"; failed=1; fi
}
# Removes a guard and checks that the test then fails. Arguments: crate, test, files, perl
# substitution.
unit_mutant() {
    is_selected "$2" && remove_guard "$2" "$1" "$3" "$4" || return 0
    package="stonegw-$1"
    [ "$1" = stonegwd ] && package=stonegwd
    out="$(cd "$copy" && CARGO_TARGET_DIR="$copy/target" cargo test -q --locked -p "$package" "$2" 2>&1 || true)"
    if grep -q "panicked" <<<"$out"; then echo "ok     $2 fails without its guard"
    else echo "ALIVE  $2 passes without its guard"; tail -5 <<<"$out"; failed=1; fi
}
mutant start_waits_for_stored_placement ran_twice "cluster/task_placement.rs" 's/Placement::new\(job_id, index, attempt, Phase::Unstored\)/Placement::new(job_id, index, attempt, Phase::Startable)/'
mutant heartbeat_of_old_incarnation ran_twice "cluster/machine_removal.rs" 's/if placement\.is_unsent\(\) \|\| placement\.inherited && !includes_inherited/let _ = includes_inherited;\n                if placement.is_unsent()/'
mutant delayed_direct_command ran_twice "leader/commands.rs" 's/\n\s+\|\| self\.late_token\.is_some\(\)\n\s+\|\| !may_forget\(self\.now, placement, cause\)//'
mutant cancel_races_start ran_cancelled "leader/commands.rs leader/reconciliation.rs" 's/filter\(\|_\| machine\.needs_raised_token\(\)\)/filter(|_| false)/; s/if may_arrive && !placement\.inherited && self\.may_start_to_stop\(placement\) \{/if false {/; s/\n\s+\|\| self\.late_token\.is_some\(\)\n\s+\|\| !may_forget\(self\.now, placement, cause\)//; s/placement\.stop_grace_s\.is_some\(\) && no_start_in_flight/placement.stop_grace_s.is_some() \&\& self.is_answered \&\& self.follows_start(placement)/'
mutant stale_node went_back "node/user_requests.rs" 's/if self\.replica\.end_of\(request\.job_id\(\)\)\.is_some\(\) \{/if self.replica.end_of(request.job_id()).is_some()\n            || !matches!(request, UserRequest::Submit(_)) \&\& self.replica.jobs.contains_key(request.job_id())\n        {/'
mutant team_limit quota cluster/usage_totals.rs 's/is_present: placement\.is_present\(\),/is_present: placement.is_present() \&\& machine.last_heartbeat_at.is_some(),/'
mutant leader_crash_while_tasks_run ran_twice "leader/load.rs" 's/for task in &row\.tasks \{/for task in row.tasks.iter().take(0) {/'
mutant stale_record ran_twice "leader/commands.rs" 's/!placement\.inherited && self\.may_start/self.may_start/'
mutant stale_transaction ran_twice "leader/transaction_builder.rs" 's/self\.transaction\.conditions\.push\(Condition \{\s+key: key\.clone\(\),\s+revision,\s+\}\);/let _ = revision;/'
mutant delayed_heartbeat ran_twice "leader/reconciliation.rs" 's/if !machine\.under_current_term \{/if false {/'
mutant unreachable_machine_sends_heartbeats expect "cluster/command_channel.rs" 's/if undelivered >= UNREACHABLE_MISSES \{/if false {/'
mutant duplicate_heartbeats ran_twice "cluster/machine_heartbeat.rs" 's/if position <= newest \{/if false {/; s/if !position\.is_of_restarted_worker\(&newest\) \{/if true {/'
mutant isolated_leader expect "node/heartbeats.rs" 's/&& now > self\.store_availability\.last_success_at\(\) \+ ISOLATION_TIMEOUT_MS/\&\& false/'
mutant duplicate_direct_command ran_twice "leader/commands.rs" 's/    !may_start_again \|\| now/    true || !may_start_again || now/'
mutant outage_with_restarts forgotten "node/replica_sync.rs" 's/listing\.request_in_flight = false;//'
mutant large_job_starvation expect "scheduling/aging.rs" 's/if is_starved && job\.starved_tasks == 0/if false \&\& is_starved/'
mutant nodes_restart_within_a_second expect "node/election.rs" 's/conditions: vec!\[Condition \{\s+key: LEADER_KEY\.into\(\),\s+revision: 0,\s+\}\],/conditions: vec![],/'
mutant large_zone_partition expect "node/relay_transaction.rs" 's/if self\.record_bytes \+ bytes > max_record_bytes \{/if !self.record.is_empty() {/'
mutant many_unreachable_machines expect "leader/machine_health.rs" 's/let unreachable_ms = if outages\.is_mass_unreachability\(now\) \{/let unreachable_ms = if false {/'
mutant isolated_zone expect "node/heartbeats.rs" 's/Some\(token\)\) = \(isolation, token\)/Some(token)) = (isolation, token.filter(|_| false))/'
mutant isolated_zone expect "leader/machine_health.rs" 's/self\.outages\.record_zone_partitions\(&counts, outage_until\)/self.outages.record_zone_partitions(\&counts, now + 1)/'
mutant zone_partition_leader_crash expect "autoscaler/scale_in.rs" 's/let is_overdue = if machine\.listed_as_running \{/let is_overdue = if false {/'
mutant invalid_requests bad_answer "node/feasibility.rs" 's/if !fits_a_type \{/if !fits_a_type \&\& false {/'
mutant invalid_requests bad_answer "node/feasibility.rs" 's/if spec\.cpus \* concurrent_tasks > team/if false \&\& spec.cpus * concurrent_tasks > team/'
mutant invalid_requests invented "node/read_barriers.rs" 's/\(UserRequest::Poll\(_\) \| UserRequest::Cancel\(_\), None\)/(UserRequest::Cancel(_), None)/; s/\(_, Some\(_\)\) => self\.reply_job_status/(UserRequest::Poll(_), _) | (_, Some(_)) => self.reply_job_status/'
mutant cancel_races_end went_back "node/commit_batch.rs" 's/self\.txn\.conditions\.push\(Condition \{\n\s+key: key\.clone\(\),\n\s+revision: write\.expected_revision,\n\s+\}\);/let _ = write.expected_revision;/'
mutant delayed_transactions went_back "node/commit_batch.rs" 's/self\.txn\.conditions\.push\(Condition \{\n\s+key: key\.clone\(\),\n\s+revision: write\.expected_revision,\n\s+\}\);/let _ = write.expected_revision;/'
mutant tasks_end_far_apart not_done "leader/results.rs" 's/if job\.done_count != job\.spec\.task_count \|\| job\.end_write_in_flight \{/if job.done_count == 0 || job.end_write_in_flight {/'
mutant zone_jobs_lose_machines wrong_place "cluster/placement_rules.rs" 's/!leaves_single_zone && !exceeds_spread/!leaves_single_zone || !exceeds_spread || true/'
mutant all_nodes_down_longer_than_lease waits_despite_capacity "cluster/task_placement.rs" 's/job\.requeue\(index\);/let _ = (job, index);/'
mutant repeated_leader_changes waits_despite_capacity "cluster/task_placement.rs" 's/job\.requeue\(index\);/let _ = (job, index);/'
mutant dropped_heartbeats expect "leader/machine_health.rs" 's/settings\.worker_lease_s \* LOST_LEASE_MULTIPLE/settings.worker_lease_s * 0.3/'
mutant leader_crash_with_unreachable_machines ran_twice "leader/load.rs" 's/for task in &row\.tasks \{/for task in row.tasks.iter().take(0) {/'
mutant ten_leader_changes ran_twice "leader/load.rs" 's/for task in &row\.tasks \{/for task in row.tasks.iter().take(0) {/'
mutant delayed_commands ran_twice "cluster/usage_totals.rs" 's/is_present: placement\.is_present\(\),/is_present: placement.is_present() \&\& machine.last_heartbeat_at.is_some(),/'
mutant limit_during_leader_change quota "cluster/usage_totals.rs" 's/is_present: placement\.is_present\(\),/is_present: placement.is_present() \&\& machine.last_heartbeat_at.is_some(),/'
mutant stale_heartbeats ran_twice "cluster/machine_heartbeat.rs" 's/if position <= newest \{/if false {/; s/if !position\.is_of_restarted_worker\(&newest\) \{/if true {/'
mutant overload_with_high_latency ran_twice "cluster/machine_heartbeat.rs" 's/if position <= newest \{/if false {/; s/if !position\.is_of_restarted_worker\(&newest\) \{/if true {/'
mutant slow_store ran_cancelled "leader/jobs.rs" 's/else if end == JobEnd::Cancelled \{/else if end == JobEnd::Cancelled \&\& placement.phase == crate::cluster::Phase::Running {/'
mutant cancel_outage_leader_without_links started_cancelled "leader/jobs.rs" 's/\(Some\(end\), _\) => \{/(Some(JobEnd::Cancelled), _) => {}\n                (Some(end), _) => {/'
mutant machine_lookups_grow_linearly expect "scheduling/deadline_placement.rs" 's/(for \(queue_index, queue\) in queues\.iter_mut\(\)\.enumerate\(\) \{\n)(\s+let best_score)/$1            let _ = self.cluster.machines.get(\&queue.id);\n$2/'
mutant cancel_outage_stale_watch ran_cancelled "node/replica_sync.rs" 's/ChangesOutcome::Applied if self\.role == Role::Leader => now,/ChangesOutcome::Applied if self.role == Role::Leader => {\n                self.cancellation_watermark.record_read(now);\n                now\n            }/'
mutant cancel_outage_confirmer_without_links ran_cancelled "node/cancellation_watermark.rs" 's/watermarks\.into_iter\(\)\.min\(\)/watermarks.into_iter().max()/; s/let known = known\.as_ref\(\)\?;\s+\(known\.first_answer_at <= watermark\)\.then_some\(known\.watermark\)/let known = known.as_ref().filter(|known| known.first_answer_at <= watermark);\n                Some(known.map_or(0, |known| known.watermark))/'
mutant cancel_outage_confirmer_crash ran_cancelled "node/cancellation_watermark.rs" 's/\(known\.first_answer_at <= watermark\)/(known.first_answer_at <= Millis::MAX)/'
mutant cancel_outage_leader_refused ran_cancelled "node/frames.rs" 's/in cancellations\.chunks\(MAX_FRAME_BODY_BYTES \/ size_of::<Cancellation>\(\)\)/in cancellations.chunks(MAX_FRAME_BODY_BYTES).take(0)/'
mutant cancel_outage_stale_watch ran_cancelled "node/heartbeats.rs" 's/self\.watermark_lag_ms\(\) <= self/0 * self.watermark_lag_ms() <= self/; s/\.map_or\(Millis::MAX, \|watermark\|/.map_or(0, |watermark|/'
mutant many_unreachable_machines expect "leader/outage_detector.rs leader/machine_health.rs" 's/(fn record_outage\(&mut self, counts: &HealthCounts), /$1, now: Millis, /; s/self\.mass_unreachable_until = until;/self.mass_unreachable_until = now + 1;/; s/record_outage\(&counts, outage_until\)/record_outage(\&counts, now, outage_until)/'
mutant array_starved_by_replicas expect "autoscaler/demand.rs" 's/&& !eventual\.iter\(\)\.any\(/\&\& false \&\& !eventual.iter().any(/'
mutant deferred_tasks_beside_free_machine waits_despite_capacity "scheduling/scheduler.rs" 's/Aging::new\(cluster, state\)\.place_deferred\(context\);//'
mutant queued_task_beside_empty_machine waits_despite_capacity "scheduling/scheduler.rs" 's/Aging::new\(cluster, state\)\.place_deferred\(context\);//'
mutant suspected_machine_is_probed waits_despite_capacity "leader/probes.rs" 's/!machine\.is_trusted\(\)/machine.is_unreachable()/'
mutant reservation_released_after_start waits_despite_capacity "cluster/job_state.rs" 's/self\.starved_tasks = self\.starved_tasks\.saturating_sub\(1\);//'
mutant reservation_allows_backfill waits_despite_capacity "scheduling/aging.rs" 's/ \|\| scope\.may_backfill\(&machine\.id\)/ || false \&\& scope.may_backfill(\&machine.id)/'
mutant gang_partly_stored expect "leader/commit_results.rs" 's/if is_in_gang \{/if false \&\& is_in_gang {/'
mutant gang_partly_stored expect "scheduling/gang_lifecycle.rs" 's/if current\s+\.clone\(\)\s+\.any\(\|member\| member\.phase == Phase::Unstored\)/if false/'
mutant gang_member_hangs ran_twice "scheduling/gang_placement.rs scheduling/gang_lifecycle.rs" 's/if self\.cluster\.machines\.present_tasks\(job_id\)\.next\(\)\.is_some\(\)/if false/; s/members\.iter\(\)\.map\(\|member\| member\.attempt\)\.max\(\)/members.iter().filter(|member| !member.is_stopping).map(|member| member.attempt).max()/'
mutant gang_machine_evicted_before_start expect "scheduling/gang_lifecycle.rs" 's/GangState::Ending => self\.stop_gang_members\(&members, job_id, 0\.0\),/GangState::Ending => {}/'
mutant gang_start quota "cluster/eligibility.rs" 's/self\.within_limit_with\(context, &gang\.spec, all_but_one_task\(&gang\.spec\)\)/self.within_limit(context, \&gang.spec)/'
mutant gang_done_reported_by_one_machine expect "leader/exits.rs" 's/else if job\.gang\.is_some\(\) \{/else if false \&\& job.gang.is_some() {/'
mutant gang_preempted_with_checkpoint expect "scheduling/gang_lifecycle.rs" 's/(fn stop_gang\(.*?)self\.stop_gang_members\(&members,/$1self.stop_gang_members(\&members[..1],/s'
mutant gang_stop_with_unreachable_member expect "scheduling/gang_lifecycle.rs" 's/job\.can_checkpoint\(\) && self\.are_all_reachable\(context, &members\)/job.can_checkpoint()/'
mutant gang_without_capacity_reserves_nothing expect "scheduling/gang_reservation.rs" 's/filter\(\|_\| slots\.len\(\) == task_count\)/filter(|_| true)/'
unit_mutant stonegwd lower_of_current_and_upcoming_limits_applies settings/check.rs 's/if upcoming < current \{\s+upcoming\s+\} else \{\s+current\s+\}/current/'
unit_mutant control oversized_record_is_split leader/commit.rs 's/self\.cluster\.split_oversized_groups\(\);//'
unit_mutant control split_record_is_kept leader/machine_group_records.rs 's/&& !successors\.any\(\|number\| groups\.contains_key\(number\)\)/\&\& (true || !successors.any(|number| groups.contains_key(number)))/'
unit_mutant control interrupted_split leader/load.rs 's/if !is_known \{/if true || !is_known {/'
unit_mutant control duplicate_machine_leaves_a_record cluster/machine_group_split.rs 's/group\.successors\.insert\(keeper\);//'
unit_mutant control machine_too_large_for_any_record cluster/machine_group_split.rs 's/self\.withdraw_unstored\(&machine_id\);//'
unit_mutant control unannounced_lower_limits leader/commit_results.rs 's/if context\.store_limits\.record_size_rejected\(size\)/if false \&\& context.store_limits.record_size_rejected(size)/'
unit_mutant control lowered_write_rate_delays leader/commit_results.rs 's/context\.store_limits\.record_rate_rejected\(\);//'
unit_mutant control a_rejected_batch node/user_commits.rs 's/self\.store_limits\.record_size_rejected\(size\);/let _ = size;/'
unit_mutant control an_accepted_job_above_the_limit_stays "node/user_requests.rs node/read_barriers.rs" 's/self\.replica\.jobs\.contains_key\(&spec\.id\)/false/; s/\(UserRequest::Submit\(spec\), None\)/(UserRequest::Submit(spec), _)/'
unit_mutant control an_accepted_job_above_the_limit_can node/user_commits.rs 's/\.fit_within\(self\.max_record_bytes\(\)\)//'
unit_mutant control a_submission_above_the_limit "node/admission.rs node/user_commits.rs" 's/if json_size_bytes\(&record\) > self\.max_record_bytes\(\) \{/if false {/; s/\(value_bytes <= self\.max_record_bytes\(\)\)\.then\(/true.then(/'
unit_mutant control rejected_relayed_heartbeats node/store_relay.rs 's/self\.store_limits\.record_size_rejected\(size\);/let _ = size;/'
unit_mutant control no_relayed_heartbeats_record_overwrites node/store_relay.rs 's/\n\s+\.min\(slot_count \/ RELAYED_HEARTBEAT_SLOTS_PER_WRITE\)//; s/\s+\.max\(settings\.max_transaction_writes \* RELAYED_HEARTBEAT_SLOTS_PER_WRITE\)//'
unit_mutant control write_burst_stays_within node/budgets.rs 's/\n\s+\.min\(self\.settings\.store_writes_per_s\)//'
unit_mutant control a_gang_waits_only_when_all scheduling/gang_lifecycle.rs 's/members\.iter\(\)\.map\(\|member\| member\.attempt\)\.max\(\)/members.iter().filter(|member| !member.is_stopping).map(|member| member.attempt).max()/'
unit_mutant control an_attempt_that_lost_a_task scheduling/gang_lifecycle.rs 's/return GangState::Ending;//'
unit_mutant control tasks_of_an_earlier_attempt scheduling/gang_lifecycle.rs 's/member\.attempt == attempt && !member\.is_stopping/!member.is_stopping/'
unit_mutant control closed_gate_stores_nothing_new node/feature_gate.rs 's/self\.state == FeatureGateState::Open\n/true\n/'
unit_mutant control busy_machine_stays cluster/task_placement.rs 's/previous\.successors\.insert\(number\);//'
unit_mutant control busy_machine_does_not_move cluster/task_placement.rs 's/&& !\(is_busy && group\.stored_state\.write_in_flight\)/\&\& (is_busy || true)/'
mutant pause_clock_jumps expect "pause.rs" 's/gap >= PROCESS_PAUSE_THRESHOLD_MS/gap >= PROCESS_PAUSE_THRESHOLD_MS * 1000/'
mutant small_jobs_beside_a_large_array expect "scheduling/first_fit.rs" 's/backlog: backlog_size\(job\),/backlog: 0,/'
unit_mutant control unconfirmed_leader_only_renews_its_lease leader/mod.rs 's/if !context\.leadership_confirmed \{/if false {/'
unit_mutant control a_pause_blocks_lease_renewal_until_a_read node/heartbeats.rs 's/self\.has_synced_since_pause\(\)\s+&& //'
unit_mutant control run_times_that_include_a_pause_are_not_recorded leader/exits.rs 's/ && !placement\.run_time_unknown//'
unit_mutant control a_pause_counts_toward_no_timeout leader/resume.rs 's/job\.deadline_missed \|= .*\n/\n/'
unit_mutant control broken_jobs_drain_no_machine leader/task_failures.rs 's/evidence < FAULTY_MACHINE_EVIDENCE/evidence < 2/'
unit_mutant control tasks_that_fail_together_increase_the_backoff_once leader/task_failures.rs 's/if now >= job\.retry_at \{/if true {/'
unit_mutant control concurrent_polls_share_one_read_barrier node/read_barriers.rs 's/self\.read_barriers\.next_at = now \+ READ_BARRIER_INTERVAL_MS;/self.read_barriers.next_at = now;/'
unit_mutant control heartbeats_of_many_machines_fill_a_transaction node/store_relay.rs 's/\s+\.max\(settings\.max_transaction_writes \* RELAYED_HEARTBEAT_SLOTS_PER_WRITE\)//'
unit_mutant control oversized_change_response_triggers_relist node/replica_sync.rs 's/(CallError::ResponseTooLarge\)\)\) => \{\s+ChangesOutcome::)RelistNeeded/$1Failed/'
unit_mutant net status_queries_leave_capacity_for_submissions admission.rs 's/self\.limit \* usable_fraction/self.limit/'
for trace in cancelled_start_held_in_zone_partition cancelled_gang_start_held_in_zone_partition cancelled_start_held_over_leader_change; do
    mutant "$trace" ran_cancelled "fencing.rs" 's/self\.newest_read_cancellation\(\)/0/'
done
# Three guards cover this trace: the token raised without the leader, that raised by the leader, and the limit.
mutant cancelled_start_lost_in_zone_partition ran_cancelled "fencing.rs leader/commands.rs" 's/self\.newest_read_cancellation\(\)/0/; s/filter\(\|_\| machine\.needs_raised_token\(\)\)/filter(|_| false)/; s/ && self\.may_start_to_stop\(placement\)//'
unit_mutant control an_unread_token_blocks_renewals fencing.rs 's/token <= self\.revision && //'
unit_mutant control a_cancellation_that_was_only_announced_raises_no_token replica.rs 's/\.range\(\.\.\(self\.revision\.saturating_add\(1\), String::new\(\)\)\)/.range(..)/'
unit_mutant control leases_are_not_renewed_past_a_cancellation_that_raises_no_token node/heartbeats.rs 's/self\.watermark_current\(\) && self\.is_raised_token_current\(\)/self.watermark_current()/'
unit_mutant control leases_renewed_without_the_leader_fence_cancelled_jobs node/heartbeats.rs 's/let may_raise = self\.may_raise_tokens\(\);/let may_raise = true;/'
unit_mutant control a_token_that_was_not_read_gets_no_reply leader/mod.rs 's/token <= self\.term \|\| context\.replica\.is_token_of_term\(token, self\.term\)/true/'
unit_mutant control replies_carry_the_raised_token_of_the_worker leader/commands.rs 's/self\.term\.max\(machine\.shown_token\)\.max\(machine\.sent_token\)/self.term/'
mutant cancelled_start_is_rejected expect "leader/commands.rs" 's/filter\(\|_\| machine\.needs_raised_token\(\)\)/filter(|_| false)/'
unit_mutant control an_unwanted_start_is_rejected leader/commands.rs 's/\.max\(machine\.sent_token\)//'
unit_mutant control a_task_cancelled_long_ago leader/commands.rs 's/ && self\.may_start_to_stop\(placement\)//'
mutant duplicate_start_of_moved_task_after_worker_reset ran_twice "cluster/machine.rs" 's/self\.restart_suspected\n\s+\|\| //'
mutant duplicate_start_of_cancelled_task_after_worker_reset ran_cancelled "cluster/machine.rs" 's/self\.restart_suspected\n\s+\|\| //'
mutant duplicate_start_after_worker_reset_in_partition ran_cancelled "fencing.rs" 's/else if worker_token == 0 \{/else if false {/; s/self\.newest_read_cancellation\(\)/0/'
mutant duplicate_start_of_moved_task_after_worker_reset_in_partition ran_twice "fencing.rs" 's/else if worker_token == 0 \{/else if false {/'
unit_mutant control a_worker_that_restarted_without_memory cluster/machine_heartbeat.rs 's/HeartbeatPosition::of\(heartbeat\);/HeartbeatPosition::new(0, heartbeat.incarnation, heartbeat.sequence);/'
unit_mutant control a_restart_proves_nothing cluster/machine_heartbeat.rs 's/heartbeat\.fencing_token > self\.commands\.start_token\(\)/true/'
unit_mutant control an_old_heartbeat_of_a_silent_machine cluster/machine_heartbeat.rs 's/\(shows_earlier_token \|\| was_silent\)/shows_earlier_token/'
unit_mutant control a_worker_without_a_token_does_not_probe node/store_relay.rs 's/has_token && self\.leader_probes/self.leader_probes/'
unit_mutant control an_old_heartbeat_stops_tasks leader/heartbeats.rs 's/commands: context\.replica\.stop_commands\(&heartbeat\)/commands: vec![]/'
unit_mutant control hellos_announce_only_tokens_of_unknown_terms node/frames.rs 's/match self\.knows_observed_tokens\(\) \{/match false {/'
unit_mutant control an_old_relayed_heartbeat_raises_no_suspicion cluster/machine_heartbeat.rs 's/receipt\.kind == HeartbeatKind::Answered && //'
exit $failed
