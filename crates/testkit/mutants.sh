#!/usr/bin/env bash
# Takes one guard after another out of a copy of the sources and shows that its trace then
# breaks a rule. Not part of CI: it builds once a guard. Run it after changing either.
set -euo pipefail
root="$(cd "$(dirname "$0")/../.." && pwd)"
copy="$root/target/mutants"
mkdir -p "$copy"
bad=0
mutant() { # trace, rule, files, perl substitution
    rm -rf "$copy/crates"
    cp -r "$root/crates" "$root/Cargo.toml" "$root/Cargo.lock" "$copy/"
    for file in $3; do
        perl -0pi -e "$4" "$copy/crates/control/src/$file"
        if cmp -s "$copy/crates/control/src/$file" "$root/crates/control/src/$file"; then
            echo "STALE  $1: the guard was not found in $file"; bad=1; return
        fi
    done
    out="$(cd "$copy" && CARGO_TARGET_DIR="$copy/target" cargo test -q --locked -p stonegw-testkit --tests "$1" 2>&1 || true)"
    # A rule the stand-in checks, or what the trace expects.
    if grep -q "BROKEN $2" <<<"$out" || { [ "$2" = expect ] && grep -q "panicked" <<<"$out"; }; then echo "ok     $1 breaks $2 without its guard"
    else echo "ALIVE  $1 does not break $2"; tail -5 <<<"$out"; bad=1; fi
}
unit_mutant() { # crate, test, file, perl substitution
    rm -rf "$copy/crates"
    cp -r "$root/crates" "$root/Cargo.toml" "$root/Cargo.lock" "$copy/"
    perl -0pi -e "$4" "$copy/crates/$1/src/$3"
    if cmp -s "$copy/crates/$1/src/$3" "$root/crates/$1/src/$3"; then
        echo "STALE  $2: the guard was not found in $3"; bad=1; return
    fi
    package="stonegw-$1"
    [ "$1" = stonegwd ] && package=stonegwd
    out="$(cd "$copy" && CARGO_TARGET_DIR="$copy/target" cargo test -q --locked -p "$package" "$2" 2>&1 || true)"
    if grep -q "panicked" <<<"$out"; then echo "ok     $2 fails without its guard"
    else echo "ALIVE  $2 passes without its guard"; tail -5 <<<"$out"; bad=1; fi
}
mutant run_waits_for_store ran_twice "cluster/task_placement.rs" 's/Placement::new\(job_id, index, attempt, Phase::Unstored\)/Placement::new(job_id, index, attempt, Phase::Startable)/'
mutant old_session_report ran_twice "cluster/machine_removal.rs" 's/if placement\.is_unsent\(\) \|\| placement\.inherited && !includes_inherited/let _ = includes_inherited;\n                if placement.is_unsent()/'
mutant late_direct_command ran_twice "leader/commands.rs" 's/\n\s+\|\| self\.may_deliver_late\n\s+\|\| !may_forget\(self\.now, placement, cause\)//'
mutant cancel_races_a_start ran_cancelled "leader/commands.rs leader/reconciliation.rs" 's/if self\.may_deliver_late && !placement\.inherited \{/if false {/; s/\n\s+\|\| self\.may_deliver_late\n\s+\|\| !may_forget\(self\.now, placement, cause\)//; s/placement\.stop_grace_s\.is_some\(\) && no_start_on_its_way/placement.stop_grace_s.is_some() \&\& self.is_answered \&\& self.follows_start(placement)/'
mutant stale_node went_back "node/users.rs" 's/if self\.replica\.end_of\(job\)\.is_some\(\) \{\n            let status/if self.replica.jobs.contains_key(job) {\n            let status/'
mutant team_limit quota cluster/usage_totals.rs 's/is_present: placement\.is_present\(\),/is_present: placement.is_present() \&\& machine.last_heartbeat_at.is_some(),/'
mutant leader_ends_while_tasks_run ran_twice "leader/load.rs" 's/for task in tasks \{/for task in tasks.iter().take(0) {/'
mutant stale_record ran_twice "leader/commands.rs" 's/!placement\.inherited && self\.may_start/self.may_start/'
mutant late_transaction ran_twice "leader/transaction_builder.rs" 's/self\.transaction\.conditions\.push\(Condition \{\s+key: key\.clone\(\),\s+revision,\s+\}\);/let _ = revision;/'
mutant late_report ran_twice "leader/reconciliation.rs" 's/if !machine\.under_current_term \{/if false {/'
mutant half_deaf expect "cluster/command_channel.rs" 's/if undelivered >= UNREACHABLE_MISSES \{/if false {/'
mutant late_copies ran_twice "cluster/machine_heartbeat.rs" 's/if \(heartbeat\.incarnation, heartbeat\.sequence\) <= \(self\.incarnation, self\.sequence\) \{/if false {/'
mutant lone_controller expect "node/relay.rs" 's/&& self\.now\.ms > self\.state_ok_at \+ k::LONE_MS/\&\& false/'
mutant repeated_command ran_twice "leader/commands.rs" 's/    !may_start_again \|\| now/    true || !may_start_again || now/'
mutant forgotten forgotten "node/elect.rs" 's/\*asked = false;/let _ = asked;/'
mutant large_job expect "overdue.rs" 's/if waited && w\.owed == 0/if false \&\& waited/'
mutant back_at_once expect "node/elect.rs" 's/conditions: vec!\[Condition \{\s+key: LEADER\.into\(\),\s+version: 0,\s+\}\],/conditions: vec![],/'
mutant large_zone_cut expect "node/via_state.rs" 's/if bytes \+ size > room \{/if !batch.is_empty() {/'
mutant many_deaf expect "leader/machine_health.rs" 's/let unreachable_ms = if outages\.is_mass_unreachability\(now\) \{/let unreachable_ms = if false {/'
mutant zone_cut_off expect "node/relay.rs" 's/if self\.shut_in && self\.covered\(\)/if false \&\& self.covered()/'
mutant zone_cut_off expect "leader/outage_detector.rs" 's/self\.zones_partitioned_until\.insert\(zone, until\)/self.zones_partitioned_until.insert(zone, until.min(1))/'
mutant zone_cut_new_leader expect "fleet/idle.rs" 's/let over = if m\.listed_up \{/let over = if false {/'
mutant odd_requests bad_answer "node/can_run.rs" 's/if !fits \{/if !fits \&\& false {/'
mutant odd_requests bad_answer "node/can_run.rs" 's/if spec\.cpus \* n > team/if false \&\& spec.cpus * n > team/'
mutant odd_requests invented "node/users.rs" 's/if self\.replica\.jobs\.contains_key\(job\) \{\n(\s+let status = self\.status\(job\);\n\s+self\.out\.reply\(p\.id, 200)/if true {\n$1/'
mutant cancel_meets_end went_back "node/users.rs" 's/txn\.conditions\.push\(Condition \{\n\s+key: key\.clone\(\),\n\s+version,\n\s+\}\);/let _ = version;/'
mutant late_writes went_back "node/users.rs" 's/txn\.conditions\.push\(Condition \{\n\s+key: key\.clone\(\),\n\s+version,\n\s+\}\);/let _ = version;/'
mutant tasks_end_far_apart not_done "leader/results.rs" 's/if job\.done_count != job\.spec\.task_count \|\| job\.end_write_in_flight \{/if job.done_count == 0 || job.end_write_in_flight {/'
mutant zone_jobs_lose_machines wrong_place "cluster/placement_rules.rs" 's/!leaves_single_zone && !exceeds_spread/!leaves_single_zone || !exceeds_spread || true/'
mutant all_nodes_away waits_beside_room "cluster/task_placement.rs" 's/job\.requeue\(index\);/let _ = (job, index);/'
mutant hand_over_and_back waits_beside_room "cluster/task_placement.rs" 's/job\.requeue\(index\);/let _ = (job, index);/'
mutant mute_machines expect "leader/machine_health.rs" 's/settings\.worker_lease_s \* LOST_LEASE_MULTIPLE/settings.worker_lease_s * 0.3/'
mutant leader_ends_beside_unreached ran_twice "leader/load.rs" 's/for task in tasks \{/for task in tasks.iter().take(0) {/'
mutant ten_leaders ran_twice "leader/load.rs" 's/for task in tasks \{/for task in tasks.iter().take(0) {/'
mutant held_commands ran_twice "cluster/usage_totals.rs" 's/is_present: placement\.is_present\(\),/is_present: placement.is_present() \&\& machine.last_heartbeat_at.is_some(),/'
mutant limit_meets_new_leader quota "cluster/usage_totals.rs" 's/is_present: placement\.is_present\(\),/is_present: placement.is_present() \&\& machine.last_heartbeat_at.is_some(),/'
mutant old_reports ran_twice "cluster/machine_heartbeat.rs" 's/if \(heartbeat\.incarnation, heartbeat\.sequence\) <= \(self\.incarnation, self\.sequence\) \{/if false {/'
mutant full_over_slow_links ran_twice "cluster/machine_heartbeat.rs" 's/if \(heartbeat\.incarnation, heartbeat\.sequence\) <= \(self\.incarnation, self\.sequence\) \{/if false {/'
mutant slow_state ran_cancelled "leader/jobs.rs" 's/else if end == JobEnd::Cancelled \{/else if end == JobEnd::Cancelled \&\& placement.phase == crate::cluster::Phase::Running {/'
mutant gap_leader_cut_users started_cancelled "leader/jobs.rs" 's/\(Some\(end\), _\) => \{/(Some(JobEnd::Cancelled), _) => {}\n                (Some(end), _) => {/'
mutant work_grows expect "schedule/mapping.rs" 's/let fetch = seat\.fetch_s\(c\);/let fetch = seat.fetch_s(c);\n            let _ = self.machines.get(\&seat.id);/'
mutant gap_late_watch ran_cancelled "node/answers.rs" 's/Some\(true\) if self\.role == Role::Leading => self\.watch_at = now,/Some(true) if self.role == Role::Leading => {\n                        self.coverage.read(now);\n                        self.watch_at = now;\n                    }/'
mutant gap_confirmer_cut_off ran_cancelled "node/coverage.rs" 's/all\.into_iter\(\)\.min\(\)/all.into_iter().max()/; s/a\.map\(\|a\| a\.upto\)/Some(a.map_or(0, |a| a.upto))/'
mutant gap_confirmer_ends ran_cancelled "node/coverage.rs" 's/filter\(\|a\| a\.from <= upto\)/filter(|a| a.from <= Ms::MAX)/'
mutant gap_leader_refused ran_cancelled "node/relay.rs" 's/for part in list\.chunks\(frame::MAX_FRAME \/ size_of::<Cancelled>\(\)\)/for part in list.chunks(frame::MAX_FRAME).take(0)/'
mutant gap_late_watch ran_cancelled "node/relay.rs" 's/self\.uncovered_ms\(\) <= \(spare_s/0 * self.uncovered_ms() <= (spare_s/; s/upto\.map_or\(Ms::MAX,/upto.map_or(0,/'
mutant many_deaf expect "leader/outage_detector.rs" 's/self\.mass_unreachable_until = until;/self.mass_unreachable_until = until.min(1);/'
mutant array_starves_beside_replicas expect "fleet/demand.rs" 's/&& !lasting\.iter\(\)\.any\(ever\)/\&\& false \&\& !lasting.iter().any(ever)/'
mutant put_off_beside_room waits_beside_room "schedule/mod.rs" 's/self\.place_put_off\(ctx\);/let _ = ctx;/'
mutant waits_in_a_queue waits_beside_room "schedule/mod.rs" 's/self\.place_put_off\(ctx\);/let _ = ctx;/'
mutant doubted_machine waits_beside_room "leader/probes.rs" 's/!machine\.is_trusted\(\)/machine.is_unreachable()/'
mutant kept_room_beside_work waits_beside_room "cluster/job_state.rs" 's/self\.starved_tasks = self\.starved_tasks\.saturating_sub\(1\);//'
mutant kept_room_is_lent waits_beside_room "overdue.rs" 's/ \|\| lent\.contains\(&m\.id\)/ \|\| false \&\& lent.contains(\&m.id)/'
mutant gang_half_stored expect "leader/commit_results.rs" 's/if is_in_gang \{/if false \&\& is_in_gang {/'
mutant gang_half_stored expect "gang/mod.rs" 's/if current\.clone\(\)\.any\(\|m\| m\.phase == Phase::New\)/if false/'
mutant gang_hung_member ran_twice "gang/place.rs gang/mod.rs" 's/if self\.machines\.present_of\(job\)\.next\(\)\.is_some\(\)/if false/; s/members\.iter\(\)\.map\(\|m\| m\.attempt\)\.max\(\)/members.iter().filter(|m| !m.stopping).map(|m| m.attempt).max()/'
mutant gang_lost_before_start expect "gang/mod.rs" 's/GangState::Ending => self\.stop_members\(&members, job, 0\.0\),/GangState::Ending => {}/'
mutant gang_start quota "cluster/eligibility.rs" 's/(fn all_but_one_task.*?)let others = .*?;/$1let others = 0.0;/s'
mutant gang_done_seen_by_half expect "leader/exits.rs" 's/else if job\.gang\.is_some\(\) \{/else if false \&\& job.gang.is_some() {/'
mutant gang_stopped_in_time expect "gang/mod.rs" 's/(fn stop_gang.*?)self\.stop_members\(&members,/$1self.stop_members(\&members[..1],/s'
mutant gang_stop_unheard expect "gang/mod.rs" 's/self\.saves\(job\) && self\.all_reachable\(ctx, &members\)/self.saves(job)/'
mutant gang_never_whole expect "gang/reserve.rs" 's/filter\(\|_\| slots\.len\(\) == tasks\)/filter(|_| true)/'
unit_mutant stonegwd the_lower_of_present_and_next_limits_holds settings/check.rs 's/if upcoming < current \{\s+upcoming\s+\} else \{\s+current\s+\}/current/'
unit_mutant control a_record_above_the_limit_is_divided leader/commit.rs 's/self\.cluster\.split_oversized_groups\(\);//'
unit_mutant control a_divided_record_stays leader/machine_group_records.rs 's/&& !successors\.any\(\|number\| groups\.contains_key\(number\)\)/\&\& (true || !successors.any(|number| groups.contains_key(number)))/'
unit_mutant control a_division_cut_short leader/load.rs 's/if !is_known \{/if true || !is_known {/'
unit_mutant control a_machine_leaves_a_record cluster/machine_group_split.rs 's/group\.successors\.insert\(keeper\);//'
unit_mutant control what_fits_no_record cluster/machine_group_split.rs 's/self\.withdraw_unstored\(&machine_id\);//'
unit_mutant control unannounced_lower_limits leader/commit_results.rs 's/if context\.store_limits\.record_size_rejected\(size\)/if false \&\& context.store_limits.record_size_rejected(size)/'
unit_mutant control a_lowered_rate_delays leader/commit_results.rs 's/context\.store_limits\.record_rate_rejected\(\);//'
unit_mutant control a_refused_batch node/users.rs 's/self\.limits\.size_refused\(size\);/let _ = size;/'
unit_mutant control an_accepted_job_above_the_limit_stays node/users.rs 's/self\.replica\.jobs\.contains_key\(&spec\.id\)/false/g'
unit_mutant control an_accepted_job_above_the_limit_can node/users.rs 's/\.within\(record_bytes\)//'
unit_mutant control a_submission_above_the_limit node/users.rs 's/if json_len\(&record\) > self\.record_bytes\(\) \{/if false {/; s/if value_bytes > record_bytes/if false/'
unit_mutant control refused_far_reports node/via_state.rs 's/self\.limits\.size_refused\(size\);/let _ = size;/'
unit_mutant control no_far_record_takes node/via_state.rs 's/most\.min\(k::FAR_SLOTS \/ 2\)/most/'
unit_mutant control a_burst_is_no_larger node/budgets.rs 's/burst\.min\(self\.set\.state_write_rps\)/burst/'
unit_mutant control a_gang_waits_only_when_all gang/mod.rs 's/members\.iter\(\)\.map\(\|m\| m\.attempt\)\.max\(\)/members.iter().filter(|m| !m.stopping).map(|m| m.attempt).max()/'
unit_mutant control an_attempt_that_lost_a_task gang/mod.rs 's/return GangState::Ending;//'
unit_mutant control tasks_of_an_earlier_attempt gang/mod.rs 's/m\.attempt == attempt && !m\.stopping/!m.stopping/'
unit_mutant control before_it_opens_nothing_new node/gate.rs 's/self\.state == State::Open\n/true\n/'
unit_mutant control a_busy_machine_stays cluster/task_placement.rs 's/previous\.successors\.insert\(number\);//'
unit_mutant control a_busy_machine_moves cluster/task_placement.rs 's/&& !\(is_busy && group\.stored_state\.write_in_flight\)/\&\& (is_busy || true)/'
mutant pause_clock_jumps expect "pause.rs" 's/gap >= k::PAUSE_MS/gap >= k::PAUSE_MS * 1000/'
mutant small_jobs_beside_a_large_array expect "schedule/first_fit.rs" 's/\.then\(a\.1\.cmp\(&b\.1\)\)//'
unit_mutant control until_leadership_is_confirmed_it_only_renews_its_lease leader/mod.rs 's/if !context\.leadership_confirmed \{/if false {/'
unit_mutant control a_pause_ends_the_permission_to_renew_leases_until_a_read node/relay.rs 's/self\.proven\(\) && //'
unit_mutant control runs_that_a_pause_fell_into_are_not_learnt leader/exits.rs 's/ && !placement\.run_time_unknown//'
unit_mutant control a_pause_counts_toward_no_timeout leader/resume.rs 's/job\.deadline_missed \|= .*\n/\n/'
unit_mutant control broken_jobs_drain_no_machine leader/task_failures.rs 's/evidence < FAULTY_MACHINE_EVIDENCE/evidence < 2/'
unit_mutant control tasks_that_fail_together_lengthen_the_wait_once leader/task_failures.rs 's/if now >= job\.retry_at \{/if true {/'
unit_mutant control questions_that_come_together_cost_one_read node/users.rs 's/self\.barrier_at = now \+ k::BARRIER_GAP_MS;/self.barrier_at = now;/'
unit_mutant control reports_of_many_machines_take_all_that_a_transaction_holds node/via_state.rs 's/k::FAR_SLOTS\.max\(self\.set\.txn_ops \* k::FAR_SLOTS_A_CHANGE\)/k::FAR_SLOTS/'
unit_mutant control changes_too_many_for_one_answer_are_listed node/elect.rs 's/Err\(CallError::TooLarge\) => Some\(false\)/Err(CallError::TooLarge) => None/'
unit_mutant net a_storm_of_questions_leaves_room_for_submissions admission.rs 's/self\.limit \* usable_fraction/self.limit/'
exit $bad
