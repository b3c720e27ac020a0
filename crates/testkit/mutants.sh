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
mutant run_waits_for_store ran_twice "leader/place.rs" 's/Placement::new\(job, index, attempt, Phase::New\)/Placement::new(job, index, attempt, Phase::Ready)/'
mutant old_session_report ran_twice "leader/place.rs" 's/if p\.unsent\(\) \|\| p\.inherited && !inherited_too/let _ = inherited_too;\n                if p.unsent()/'
mutant late_direct_command ran_twice "leader/command.rs" 's/settled && beat && !open && may_clear\(now, p, cause\)/settled \&\& beat/'
mutant cancel_races_a_start ran_cancelled "leader/command.rs leader/hear.rs" 's/if open && !p\.inherited \{/if false {/; s/settled && beat && !open && may_clear\(now, p, cause\)/settled \&\& beat/; s/stop\.is_some\(\) && beat && !open/stop.is_some() \&\& beat/'
mutant stale_node went_back "node/users.rs" 's/if self\.replica\.end_of\(job\)\.is_some\(\) \{\n            let status/if self.replica.jobs.contains_key(job) {\n            let status/'
mutant team_limit quota ledger/sums.rs 's/present: p\.present\(\),/present: p.present() \&\& m.heard.is_some(),/'
mutant leader_ends_while_tasks_run ran_twice "leader/load.rs" 's/in tasks \{/in tasks.into_iter().take(0) {/'
mutant stale_record ran_twice "leader/command.rs" 's/&& !p\.inherited\n\s+&& wanted/\&\& wanted/'
mutant late_transaction ran_twice "leader/draft.rs" 's/self\.txn\.conditions\.push\(Condition \{\s+key: key\.clone\(\),\s+version,\s+\}\);/let _ = version;/'
mutant late_report ran_twice "leader/hear.rs" 's/if m\.under_token \{/if true {/'
mutant half_deaf expect "ledger/machine.rs" 's/if misses >= k::DEAF_MISSES \{/if false {/'
mutant late_copies ran_twice "leader/hear.rs" 's/if \(report\.session, report\.seq\) <= \(m\.session, m\.seq\) \{/if false {/'
mutant lone_controller expect "node/relay.rs" 's/&& self\.now\.ms > self\.state_ok_at \+ k::LONE_MS/\&\& false/'
mutant repeated_command ran_twice "leader/command.rs" 's/    !again \|\| now/    true || !again || now/'
mutant forgotten forgotten "node/elect.rs" 's/\*asked = false;/let _ = asked;/'
mutant large_job expect "overdue.rs" 's/if waited && w\.owed == 0/if false \&\& waited/'
mutant back_at_once expect "node/elect.rs" 's/conditions: vec!\[Condition \{\s+key: LEADER\.into\(\),\s+version: 0,\s+\}\],/conditions: vec![],/'
mutant large_zone_cut expect "node/via_state.rs" 's/if bytes \+ size > room \{/if !batch.is_empty() {/'
mutant many_deaf expect "leader/silence.rs" 's/if many_deaf \{ 3 \* lease_ms/if false { 3 * lease_ms/'
mutant zone_cut_off expect "node/relay.rs" 's/if self\.shut_in && self\.covered\(\)/if false \&\& self.covered()/'
mutant zone_cut_off expect "leader/silence.rs" 's/self\.cut_until\.insert\(zone\.to_owned\(\), later\)/self.cut_until.insert(zone.to_owned(), now + 1)/'
mutant zone_cut_new_leader expect "fleet/idle.rs" 's/let over = if m\.listed_up \{/let over = if false {/'
mutant odd_requests bad_answer "node/can_run.rs" 's/if !fits \{/if !fits \&\& false {/'
mutant odd_requests bad_answer "node/can_run.rs" 's/if spec\.cpus \* n > team/if false \&\& spec.cpus * n > team/'
mutant odd_requests invented "node/users.rs" 's/if self\.replica\.jobs\.contains_key\(job\) \{\n(\s+let status = self\.status\(job\);\n\s+self\.out\.reply\(p\.id, 200)/if true {\n$1/'
mutant cancel_meets_end went_back "node/users.rs" 's/txn\.conditions\.push\(Condition \{\n\s+key: key\.clone\(\),\n\s+version,\n\s+\}\);/let _ = version;/'
mutant late_writes went_back "node/users.rs" 's/txn\.conditions\.push\(Condition \{\n\s+key: key\.clone\(\),\n\s+version,\n\s+\}\);/let _ = version;/'
mutant tasks_end_far_apart not_done "leader/results.rs" 's/if w\.done_count != w\.spec\.tasks \|\| w\.ending \{/if w.done_count == 0 || w.ending {/'
mutant zone_jobs_lose_machines wrong_place "leader/placement_rules.rs" 's/!\(spec\.one_zone && elsewhere > 0 \|\| spec\.spread && here >= most\)/here + elsewhere + most > 0 || true/'
mutant all_nodes_away waits_beside_room "leader/place.rs" 's/w\.give_back\(index\);/let _ = (w, index);/'
mutant hand_over_and_back waits_beside_room "leader/place.rs" 's/w\.give_back\(index\);/let _ = (w, index);/'
mutant mute_machines expect "leader/silence.rs" 's/ctx\.set\.lease_s \* k::LOST_LEASES/ctx.set.lease_s * 0.3/'
mutant leader_ends_beside_unreached ran_twice "leader/load.rs" 's/in tasks \{/in tasks.into_iter().take(0) {/'
mutant ten_leaders ran_twice "leader/load.rs" 's/in tasks \{/in tasks.into_iter().take(0) {/'
mutant held_commands ran_twice "ledger/sums.rs" 's/present: p\.present\(\),/present: p.present() \&\& m.heard.is_some(),/'
mutant limit_meets_new_leader quota "ledger/sums.rs" 's/present: p\.present\(\),/present: p.present() \&\& m.heard.is_some(),/'
mutant old_reports ran_twice "leader/hear.rs" 's/if \(report\.session, report\.seq\) <= \(m\.session, m\.seq\) \{/if false {/'
mutant full_over_slow_links ran_twice "leader/hear.rs" 's/if \(report\.session, report\.seq\) <= \(m\.session, m\.seq\) \{/if false {/'
mutant slow_state ran_cancelled "leader/jobs.rs" 's/else if end == End::Cancelled \{/else if end == End::Cancelled \&\& p.phase == Phase::Running {/'
mutant gap_leader_cut_users started_cancelled "leader/jobs.rs" 's/\(Some\(end\), _\) => \{/(Some(End::Cancelled), _) => {}\n                (Some(end), _) => {/'
mutant work_grows expect "schedule/mapping.rs" 's/let fetch = seat\.fetch_s\(c\);/let fetch = seat.fetch_s(c);\n            let _ = self.machines.get(\&seat.id);/'
mutant gap_late_watch ran_cancelled "node/answers.rs" 's/Some\(true\) if self\.role == Role::Leading => self\.watch_at = now,/Some(true) if self.role == Role::Leading => {\n                        self.coverage.read(now);\n                        self.watch_at = now;\n                    }/'
mutant gap_confirmer_cut_off ran_cancelled "node/coverage.rs" 's/all\.into_iter\(\)\.min\(\)/all.into_iter().max()/; s/a\.map\(\|a\| a\.upto\)/Some(a.map_or(0, |a| a.upto))/'
mutant gap_confirmer_ends ran_cancelled "node/coverage.rs" 's/filter\(\|a\| a\.from <= upto\)/filter(|a| a.from <= Ms::MAX)/'
mutant gap_leader_refused ran_cancelled "node/relay.rs" 's/for part in list\.chunks\(frame::MAX_FRAME \/ size_of::<Cancelled>\(\)\)/for part in list.chunks(frame::MAX_FRAME).take(0)/'
mutant gap_late_watch ran_cancelled "node/relay.rs" 's/self\.uncovered_ms\(\) <= \(spare_s/0 * self.uncovered_ms() <= (spare_s/; s/upto\.map_or\(Ms::MAX,/upto.map_or(0,/'
mutant many_deaf expect "leader/silence.rs" 's/self\.many_deaf_until = later;/self.many_deaf_until = now + 1;/'
mutant array_starves_beside_replicas expect "fleet/demand.rs" 's/&& !lasting\.iter\(\)\.any\(ever\)/\&\& false \&\& !lasting.iter().any(ever)/'
mutant put_off_beside_room waits_beside_room "schedule/mod.rs" 's/self\.place_put_off\(ctx\);/let _ = ctx;/'
mutant waits_in_a_queue waits_beside_room "schedule/mod.rs" 's/self\.place_put_off\(ctx\);/let _ = ctx;/'
mutant doubted_machine waits_beside_room "leader/silence.rs" 's/filter\(\|m\| !m\.trusted\(\)/filter(|m| m.deaf()/'
mutant kept_room_beside_work waits_beside_room "ledger/work.rs" 's/self\.owed = self\.owed\.saturating_sub\(1\);//'
mutant kept_room_is_lent waits_beside_room "overdue.rs" 's/ \|\| lent\.contains\(&m\.id\)/ \|\| false \&\& lent.contains(\&m.id)/'
mutant gang_half_stored expect "leader/answers.rs" 's/if in_gang \{/if false \&\& in_gang {/'
mutant gang_half_stored expect "gang/mod.rs" 's/if current\.clone\(\)\.any\(\|m\| m\.phase == Phase::New\)/if false/'
mutant gang_hung_member ran_twice "gang/place.rs gang/mod.rs" 's/if self\.machines\.present_of\(job\)\.next\(\)\.is_some\(\)/if false/; s/members\.iter\(\)\.map\(\|m\| m\.attempt\)\.max\(\)/members.iter().filter(|m| !m.stopping).map(|m| m.attempt).max()/'
mutant gang_lost_before_start expect "gang/mod.rs" 's/GangState::Ending => self\.stop_members\(&members, job, 0\.0\),/GangState::Ending => {}/'
mutant gang_start quota "gang/place.rs" 's/(fn allows_whole.*?)let others = .*?;/$1let others = 0.0;/s'
mutant gang_done_seen_by_half expect "leader/hear.rs" 's/if w\.gang\.is_some\(\) \{/if false \&\& w.gang.is_some() {/'
mutant gang_stopped_in_time expect "gang/mod.rs" 's/(fn stop_gang.*?)self\.stop_members\(&members,/$1self.stop_members(\&members[..1],/s'
mutant gang_stop_unheard expect "gang/mod.rs" 's/self\.saves\(job\) && self\.all_reachable\(ctx, &members\)/self.saves(job)/'
mutant gang_never_whole expect "gang/reserve.rs" 's/filter\(\|_\| slots\.len\(\) == tasks\)/filter(|_| true)/'
unit_mutant stonegwd the_lower_of_present_and_next_limits_holds settings/check.rs 's/if upcoming < current \{\s+upcoming\s+\} else \{\s+current\s+\}/current/'
unit_mutant control a_record_above_the_limit_is_divided leader/store.rs 's/self\.split_large\(\);//'
unit_mutant control a_divided_record_stays leader/machine_records.rs 's/&& !waits\(s\)/\&\& (true || !waits(s))/'
unit_mutant control a_division_cut_short leader/load.rs 's/if m\.placements\.iter\(\)\.any\(same\) \{/if false \&\& m.placements.iter().any(same) {/'
unit_mutant control a_machine_leaves_a_record leader/split.rs 's/s\.successors\.insert\(keeper\);//'
unit_mutant control what_fits_no_record leader/split.rs 's/self\.take_back_unstored\(&id\);//'
unit_mutant control limits_lowered_without_a_word leader/answers.rs 's/if ctx\.limits\.size_refused\(size\)/if false \&\& ctx.limits.size_refused(size)/'
unit_mutant control a_lowered_rate_delays leader/answers.rs 's/Ok\(\(429, _\)\) => ctx\.limits\.rate_refused\(\),//'
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
unit_mutant control a_busy_machine_stays leader/place.rs 's/s\.successors\.insert\(n\);//'
unit_mutant control a_busy_machine_moves leader/place.rs 's/ && !\(busy && s\.stored\.writing\)/ \&\& (busy || true)/'
mutant pause_clock_jumps expect "pause.rs" 's/gap >= k::PAUSE_MS/gap >= k::PAUSE_MS * 1000/'
mutant small_jobs_beside_a_large_array expect "schedule/first_fit.rs" 's/\.then\(a\.1\.cmp\(&b\.1\)\)//'
unit_mutant control until_it_is_proven_to_lead_it_only_renews_its_lease leader/mod.rs 's/if !ctx\.proven \{/if false {/'
unit_mutant control a_pause_ends_the_permission_to_renew_leases_until_a_read node/relay.rs 's/self\.proven\(\) && //'
unit_mutant control runs_that_a_pause_fell_into_are_not_learnt leader/hear.rs 's/ && !p\.run_untimed//'
unit_mutant control others_are_not_judged_by_the_time_that_went_by leader/resume.rs 's/work\.missed \|= .*\n/\n/'
unit_mutant control broken_jobs_cost_no_machine leader/failed.rs 's/evidence < k::FAULTY_EVIDENCE/evidence < 2/'
unit_mutant control tasks_that_fail_together_lengthen_the_wait_once leader/failed.rs 's/if now >= work\.retry_at \{/if true {/'
unit_mutant control questions_that_come_together_cost_one_read node/users.rs 's/self\.barrier_at = now \+ k::BARRIER_GAP_MS;/self.barrier_at = now;/'
unit_mutant control reports_of_many_machines_take_all_that_a_transaction_holds node/via_state.rs 's/k::FAR_SLOTS\.max\(self\.set\.txn_ops \* k::FAR_SLOTS_A_CHANGE\)/k::FAR_SLOTS/'
unit_mutant control changes_too_many_for_one_answer_are_listed node/elect.rs 's/Err\(CallError::TooLarge\) => Some\(false\)/Err(CallError::TooLarge) => None/'
unit_mutant net a_storm_of_questions_leaves_room_for_submissions admission.rs 's/self\.limit \* usable_fraction/self.limit/'
exit $bad
