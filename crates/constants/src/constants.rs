//! Every constant of the project, with its unit and the reason for its value.
//!
//! What a deployment decides (limits, leases, prices, teams) is not here: it comes from the
//! settings, the catalogue or observation.
#![deny(missing_docs)]

// ---- HTTP -------------------------------------------------------------------------------

/// Bytes. The protocol bounds bodies at 64 KiB.
pub const MAX_REQUEST_BODY_BYTES: usize = 64 * 1024;
/// Bytes. Watch and list answers are larger: lists go to 512 KiB, watches have no limit. Beyond this, well
/// before the memory limit, the pages of a list are read instead.
pub const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Bytes of request line and headers; far above what users, workers or probes send.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Headers in one head; the same reasoning.
pub const MAX_HEADERS: usize = 64;

// ---- Connections ------------------------------------------------------------------------

/// ms. An idle server connection is closed after this; users poll every 5 s, workers report
/// every few, so only forgotten connections reach it.
pub const IDLE_CONNECTION_TIMEOUT_MS: u64 = 65_000;
/// ms a client may take to send one whole request once begun: slow senders hold sockets.
pub const REQUEST_READ_TIMEOUT_MS: u64 = 5_000;
/// Sockets kept back from accepting, for our own calls to state, cloud, workers and peers.
pub const RESERVED_OUTBOUND_SOCKETS: usize = 160;
/// At most one in so many sockets is kept back in this way, so that a low limit leaves some for users.
pub const RESERVED_OUTBOUND_SOCKETS_DIVISOR: usize = 4;
/// Of these, kept back from calls to workers: state service, cloud and peers never go without.
pub const RESERVED_SERVICE_SOCKETS: usize = 32;
/// Sockets that are not counted one by one: poller, standard streams, some to spare.
pub const UNCOUNTED_SOCKETS: usize = 8;
/// Idle connections closed at once when the limit is near: each look goes through all of them.
pub const IDLE_EVICTION_BATCH: usize = 32;
/// Fewest sockets with which a node can work.
pub const MIN_SOCKETS: f64 = 128.0;
/// ms an idle connection of ours is kept: a machine at work is commanded every few seconds.
pub const IDLE_CLIENT_CONNECTION_TIMEOUT_MS: u64 = 30_000;
/// Connections waiting to be accepted: after a crash all machines and users turn to the same node at once. The
/// system may allow fewer.
pub const LISTEN_BACKLOG: i32 = 16_384;
/// ms between turns of the timers at most. Each turn costs system calls, which a few per cent of
/// a core feel; no timer here needs more than a tenth of a second.
pub const TIMER_INTERVAL_MS: u64 = 100;
/// ms between two looks for idle connections and for peers to redial: both limits are seconds.
pub const CONNECTION_SWEEP_INTERVAL_MS: u64 = 1_000;
/// Bytes read from a socket at once.
pub const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Bytes of unsent output after which a peer link is cut: it has stopped reading. The reports of
/// six thousand machines that come at once, two kilobytes each, pass.
pub const MAX_PEER_BACKLOG_BYTES: usize = 12 * 1024 * 1024;
/// ms that a turn may take before what it decided for the cloud and the workers is void: the
/// process stood still, and its lease may be over.
pub const STALE_TURN_THRESHOLD_MS: u64 = 1_500;
/// ms from which a turn's length is told in the log: the leader key is renewed each second.
pub const SLOW_TURN_THRESHOLD_MS: u64 = 300;
/// ms between two turns from which the process counts as having stood still: the timers turn ten times a
/// second, and the longest turns take half a second.
pub const PROCESS_PAUSE_THRESHOLD_MS: u64 = 1_000;
/// ms between two attempts to reach a peer.
pub const PEER_REDIAL_INTERVAL_MS: u64 = 1_000;
/// ms between pings on a peer link.
pub const PEER_PING_INTERVAL_MS: u64 = 1_000;
/// ms without a word after which a peer link counts as dead: three pings.
pub const PEER_TIMEOUT_MS: u64 = 3_200;

// ---- Admission --------------------------------------------------------------------------

/// Requests in progress that are always admitted: below this, measuring says nothing.
pub const ADMISSION_LIMIT_MIN: f64 = 8.0;
/// Most requests in progress, whatever the measured times say; bounds memory. Some twenty thousand users who
/// ask every 5 s, each answered after a second, stay below it.
pub const ADMISSION_LIMIT_MAX: f64 = 4_096.0;
/// Part of the limit that questions may take: users ask again soon, and a storm of questions must not keep
/// submissions and cancellations out.
pub const ADMISSION_STATUS_QUERY_FRACTION: f64 = 0.75;
/// Where the limit starts.
pub const ADMISSION_LIMIT_INITIAL: f64 = 64.0;
/// A measured time above this many times the usual one shrinks the limit.
pub const ADMISSION_LATENCY_TOLERANCE: f64 = 4.0;
/// ms. Times below this never shrink the limit: they are the state service's ordinary noise.
pub const ADMISSION_LATENCY_FLOOR_MS: f64 = 400.0;
/// Factor by which the limit shrinks; a tenth is the customary gentle cut.
pub const ADMISSION_DECREASE_FACTOR: f64 = 0.9;
/// ms after which a job whose polls were turned away is answered whatever the limit: no job may
/// go unanswered again and again while others are served.
pub const ADMISSION_MAX_STARVATION_MS: u64 = 8_000;
/// Jobs remembered as turned away at most: as many as six thousand machines run, a hundred bytes each.
pub const ADMISSION_MAX_TRACKED_REJECTIONS: usize = 32_768;
/// Weight of a new sample in the usual time.
pub const ADMISSION_BASELINE_WEIGHT: f64 = 0.02;
/// s told to a client that found the limit reached.
pub const RETRY_AFTER_OVERLOAD_S: u32 = 2;
/// s told to a client whose gang comes before all controllers run a release that knows gangs: a
/// rolling upgrade takes a minute or so.
pub const RETRY_AFTER_FEATURE_GATE_S: u32 = 10;
/// s told to a client when the state service did not answer.
pub const RETRY_AFTER_STORE_FAILURE_S: u32 = 1;

// ---- State service ----------------------------------------------------------------------

/// ms before a state call is given up: answers take 10 ms, now and then some hundreds.
pub const STORE_TIMEOUT_MS: u64 = 1_500;
/// ms that a watch is held open by the service.
pub const WATCH_LONG_POLL_MS: u64 = 20_000;
/// ms on top of that before the watch is taken as dead.
pub const WATCH_GRACE_MS: u64 = 3_000;
/// ms between retries of a failed state call; doubled up to the next constant.
pub const STORE_RETRY_BACKOFF_MS: u64 = 200;
/// ms, the longest pause between retries of a state call.
pub const STORE_RETRY_BACKOFF_MAX_MS: u64 = 1_500;
/// ms between two read barriers at least: bounds their share of the request budget.
pub const READ_BARRIER_INTERVAL_MS: u64 = 100;
/// ms between probes of a state service that did not answer.
pub const STORE_PROBE_INTERVAL_MS: u64 = 300;
/// ms after which the leader, and a node whose coverage lags by as much, reads the changes even
/// if its watch tells none: bounds how late a cancel is learnt of.
pub const REPLICA_CONFIRM_INTERVAL_MS: u64 = 2_000;
/// ms a poll, submission or cancel waits for the state service before 503; users wait 2 s for
/// a poll and 5 s for a submission.
pub const POLL_TIMEOUT_MS: u64 = 1_600;
/// ms, the same for submissions and cancels.
pub const SUBMISSION_TIMEOUT_MS: u64 = 3_500;
/// ms without any answer from the state service after which it counts as out of reach.
pub const STORE_UNREACHABLE_MS: u64 = 2_500;
/// Shares of the state service's requests and changes that the leader may use; the followers
/// share the rest. Users ask all nodes alike, and each answer needs a read; of the changes most
/// are placements.
pub const LEADER_READ_FRACTION: f64 = 0.45;
/// The leader's share of the changes, 0 to 1; see [`LEADER_READ_FRACTION`].
pub const LEADER_WRITE_FRACTION: f64 = 0.7;
/// ms between the end of a follower's watch and the next: changes that come together are told
/// together. The leader asks again at once, since work waits for it.
pub const FOLLOWER_WATCH_INTERVAL_MS: u64 = 200;
/// ms between two transactions with placements of work that is not urgent: one write a record
/// then holds what came meanwhile.
pub const COMMIT_INTERVAL_MS: u64 = 300;
/// Part of a transaction's changes, or of a second's if fewer, kept in the budget for urgent
/// placements.
pub const URGENT_COMMIT_RESERVE_FRACTION: f64 = 0.25;
/// ms between two transactions that only tidy up.
pub const GARBAGE_COLLECTION_INTERVAL_MS: u64 = 2_000;
/// Bytes of JSON left free in a transaction for framing.
pub const TXN_MARGIN_BYTES: usize = 2 * 1024;
/// Bytes of JSON in a transaction at most (the protocol's limit).
pub const MAX_TXN_BYTES: usize = 64 * 1024;
/// Items asked for in one list page.
pub const LIST_PAGE_ENTRIES: usize = 500;
/// Tasks whose completion one record holds as a bitmap: 8192 bits are 1.4 kB of base64, far
/// below the smallest value limit.
pub const RESULT_CHUNK_TASKS: u32 = 8_192;
/// Bytes of JSON that a value may take whatever the state service refuses: the largest record that can't
/// be divided, a chunk of results or a usual submission, is smaller.
pub const MIN_VALUE_BYTES: usize = 2 * 1024;
/// Transactions refused in a row because of the rate before they are made smaller: one or two only
/// met the other nodes' in the same second.
pub const MAX_CONSECUTIVE_RATE_REFUSALS: u32 = 3;
/// Bytes of JSON that a submission or cancel takes in a transaction besides its value.
pub const JOB_WRITE_OVERHEAD_BYTES: usize = 300;

/// Machines that one record tells of at most: few records make few writes, and a transaction
/// of eight rewrites a whole fleet; the size of a value bounds them further.
pub const MACHINE_GROUP_MAX_MACHINES: usize = 32;
/// Bytes of JSON that such a record takes besides its rows, on the safe side: team names.
pub const MACHINE_GROUP_OVERHEAD_BYTES: usize = 300;
/// Bytes of JSON for one machine, one job, one task in it, on the safe side.
pub const MACHINE_GROUP_BYTES_PER_MACHINE: usize = 90;
/// Bytes of JSON for one job in such a record; see [`MACHINE_GROUP_BYTES_PER_MACHINE`].
pub const MACHINE_GROUP_BYTES_PER_JOB: usize = 70;
/// Bytes of JSON for one task in such a record; see [`MACHINE_GROUP_BYTES_PER_MACHINE`].
pub const MACHINE_GROUP_BYTES_PER_TASK: usize = 34;
/// ms that results of a job wait, so that one write holds several. The worker shows them until
/// they are stored; a job's last result does not wait.
pub const RESULT_COMMIT_DELAY_MS: u64 = 2_000;
/// Part of the leader's changes that results take at most on average: with more jobs at work each
/// result waits longer. The worker goes on telling them, so nothing is lost by it.
pub const RESULT_WRITE_FRACTION: f64 = 0.2;
/// One in so many changes of a transaction is open to results before placements.
pub const RESULT_TXN_DIVISOR: usize = 4;

// ---- Rolling upgrade --------------------------------------------------------------------

/// What this program can read and write beyond earlier ones; counts up by one when something new
/// is stored or sent. 2: gangs. The release before it stored no such number.
pub const PROGRAM_VERSION: u64 = 2;
/// ms between two reads of the other nodes' releases until all have this one: an upgrade takes a
/// minute or so, and users whose gangs wait come again after seconds.
pub const FEATURE_GATE_READ_INTERVAL_MS: u64 = 2_000;
/// Part of a node's requests to the state service that these reads take at most: they come less
/// often where there are few.
pub const FEATURE_GATE_READ_FRACTION: f64 = 0.05;

// ---- Leadership -------------------------------------------------------------------------

/// ms the leader key outlives its last renewal. Long enough for lost packets and late timers
/// on a few per cent of a core, short enough that a crash costs few seconds.
pub const LEADER_LEASE_TTL_MS: u64 = 4_000;
/// ms between renewals: four tries per life.
pub const LEADER_RENEW_INTERVAL_MS: u64 = 1_000;
/// ms of random wait before a node stands for election, so that rarely two do at once.
pub const ELECTION_JITTER_MS: u64 = 150;
/// Attempts of one term: attempt numbers are term * this + counter, so they never repeat.
pub const ATTEMPTS_PER_TERM: u64 = 1_000_000;

/// ms a leader that hears no machine at all, though the state service answers it, goes on
/// before it resigns: two report periods are not yet proof, and the others can hear.
pub const UNREACHABLE_MS: u64 = 9_000;
/// ms before it stands again.
pub const CANDIDACY_PAUSE_MS: u64 = 15_000;
/// ms before a node resigns again: if the others hear no more, somebody must act.
pub const RESIGNATION_INTERVAL_MS: u64 = 180_000;
/// Part of the time between a worker's lease and the limit for cancellations for which leases are
/// renewed past a node's coverage. The tenth left is for the drift of clocks and a worker's step.
pub const WATERMARK_LAG_FRACTION: f64 = 0.9;
/// ms without the state service and any other node after which a node holds no workers any more:
/// longer than the leader key's life and the pings, so that a moment's loss is none, and early
/// enough that a worker, which needs some 10 s to find another node, does so within its lease.
pub const ISOLATION_TIMEOUT_MS: u64 = 8_000;
/// ms after which a machine answered without the leader is sent to try it: a round of vain
/// tries takes 10 s, which with this stays within the shortest lease in use.
pub const LEADER_PROBE_DELAY_MS: u64 = 14_000;
/// One in so many of them may leave for it together: half, for a wave takes time that commands wait.
pub const LEADER_PROBE_BATCH_DIVISOR: usize = 2;
/// ms between two such waves: one vain try and a bit, so that the first may be back.
pub const LEADER_PROBE_BATCH_INTERVAL_MS: u64 = 6_000;
/// So many may always leave: one of them may have ended.
pub const MIN_LEADER_PROBES: usize = 3;
/// ms on top of a vain try of each other node after which one that is away has found the leader.
pub const LEADER_PROBE_MARGIN_MS: u64 = 2_000;
/// ms between two reports of a machine handed on through the state service, if nothing
/// changed.
pub const RELAYED_HEARTBEAT_REPEAT_MS: u64 = 6_000;
/// Records in which a node hands reports on in turn, over the changes that a transaction can hold: none is
/// written over by the next transaction.
pub const RELAYED_HEARTBEAT_SLOTS_PER_WRITE: usize = 2;
/// Such records at least, whatever a transaction can hold.
pub const MIN_RELAYED_HEARTBEAT_SLOTS: usize = 16;
/// Bytes of JSON that such a record takes besides its reports.
pub const RELAYED_HEARTBEATS_OVERHEAD_BYTES: usize = 200;
/// ms between two transactions with such reports.
pub const RELAYED_HEARTBEATS_INTERVAL_MS: u64 = 1_000;
/// Part of the machines that may fall silent at once before the leader takes it for its own
/// trouble and deletes none.
pub const MASS_SILENCE_FRACTION: f64 = 0.5;
/// Part of a zone's machines whose silence means that the zone is cut off.
pub const ZONE_PARTITION_FRACTION: f64 = 0.7;
/// Fewer machines than this are never too many to be lost at once.
pub const MASS_SILENCE_MIN_MACHINES: usize = 3;

// ---- Workers ----------------------------------------------------------------------------

/// ms before a direct command is given up.
pub const DIRECT_COMMAND_TIMEOUT_MS: u64 = 2_500;
/// ms a relayed report waits for the leader; workers give up after 4 s.
pub const HEARTBEAT_RELAY_TIMEOUT_MS: u64 = 2_500;
/// ms between two looks at which machines are silent: their limits are seconds.
pub const SILENCE_CHECK_INTERVAL_MS: u64 = 250;
/// Report periods without a word after which a machine gets no new tasks.
pub const SILENT_HEARTBEAT_INTERVALS: f64 = 2.5;
/// Part of a worker's lease, without a word, after which a machine counts as lost and is
/// deleted to free its tasks: the delete is the proof, and costs at most a machine.
pub const LOST_LEASE_MULTIPLE: f64 = 1.1;
/// ms a worker loses at a node that does not answer: 4 s of waiting and a second's pause.
pub const WORKER_ATTEMPT_TIMEOUT_MS: u64 = 5_000;
/// ms on top of a report period and two such tries after which a machine with urgent replicas
/// counts as lost, as long as few are silent: waiting out the lease costs more than a machine
/// that might have come back.
pub const LOST_URGENT_MARGIN_MS: u64 = 2_500;
/// Answers or commands without effect, in a row, after which a machine that is heard counts as
/// not hearing us: one or two are lost messages or a slow relay.
pub const UNREACHABLE_MISSES: u32 = 3;
/// ms between questions to such a machine, whether it hears again.
pub const UNREACHABLE_PROBE_INTERVAL_MS: u64 = 5_000;
/// ms for which a copy of a direct command may still arrive ("minutes late"): so long a worker
/// keeps an attempt that ended without being done, lest the copy start it anew.
pub const DUPLICATE_COMMAND_LIFETIME_MS: u64 = 600_000;
/// ms between repeats of a direct stop.
pub const STOP_RESEND_INTERVAL_MS: u64 = 1_000;
/// ms for which a deleted machine's late reports and lists are known as such.
pub const DELETED_MACHINE_RETENTION_MS: u64 = 600_000;
/// ms, first wait after a failed start of a task; doubled each time.
pub const START_BACKOFF_MS: u64 = 1_000;
/// ms, longest wait between starts of a task that keeps failing.
pub const START_BACKOFF_MAX_MS: u64 = 60_000;
/// Doublings of that wait at most, so that it can't overflow.
pub const START_BACKOFF_MAX_DOUBLINGS: u32 = 10;
/// One in so many parts of the wait is left to chance.
pub const START_BACKOFF_JITTER_DIVISOR: u64 = 4;
/// Machines on which a job fails, with no task done, that show that it fails on every one: two may both be
/// faulty, three hardly.
pub const BROKEN_JOB_MIN_MACHINES: usize = 3;
/// Evidence against a machine, from jobs that failed there, that makes it faulty.
pub const FAULTY_MACHINE_EVIDENCE: usize = 3;
/// What a job weighs in it that has had tasks done elsewhere; one that has had none weighs one, since it
/// may itself be broken.
pub const PROVEN_JOB_EVIDENCE: usize = 2;
/// s of saving allowed on top of `save_s` when a task is stopped.
pub const STOP_GRACE_MARGIN_S: f64 = 1.0;
/// Resources below this are rounding, not room.
pub const RESOURCE_EPSILON: f64 = 1e-6;

/// ms between two lines in the log on how the fleet and the work stand.
pub const SUMMARY_LOG_INTERVAL_MS: u64 = 10_000;

// ---- Scheduling (DESIGN: "Its figures are open") ------------------------------------------

/// ms between mappings (DESIGN: each second).
pub const SCHEDULING_INTERVAL_MS: u64 = 1_000;
/// ms between placements of urgent, deadline-free work at the earliest.
pub const URGENT_PLACEMENT_INTERVAL_MS: u64 = 100;
/// Tasks held per machine for room freeing next (DESIGN).
pub const MAX_QUEUED_TASKS_PER_MACHINE: usize = 2;
/// Theta: the step of the deferring threshold (DESIGN).
pub const DEFERRING_THRESHOLD_STEP: f64 = 0.05;
/// Lambda: weight of new misses in the miss level (the paper's).
pub const MISS_LEVEL_WEIGHT: f64 = 0.9;
/// Miss level that turns dropping on (the paper's).
pub const DROPPING_ON_MISS_LEVEL: f64 = 2.0;
/// Miss level that turns dropping off (the paper's).
pub const DROPPING_OFF_MISS_LEVEL: f64 = 1.6;
/// Base of the drop threshold (DESIGN).
pub const DROP_THRESHOLD_BASE: f64 = 0.5;
/// Rho: scale of the skewness term (DESIGN).
pub const DROP_SKEWNESS_SCALE: f64 = 0.1;
/// Bins of a curve. With `BIN_S` they span 384 s, beyond the usual deadline.
pub const CURVE_BINS: usize = 128;
/// s per bin.
pub const CURVE_BIN_S: f64 = 3.0;
/// Chances closer than this are equal: the curves are no finer.
pub const CHANCE_TOLERANCE: f64 = 0.02;
/// s; finishes closer than this are equal: the cheaper machine wins, then the tighter fit, so that
/// others fall idle and can be returned.
pub const FINISH_TOLERANCE_S: f64 = 1.0;
/// Quantile factors of the seed around an owner's estimate ("often wrong by half").
pub const ESTIMATE_QUANTILE_FACTORS: [f64; 7] = [0.5, 0.7, 0.85, 1.0, 1.2, 1.5, 2.0];
/// How many seeds one observed run time outweighs.
pub const OBSERVED_RUN_WEIGHT: u32 = 5;
/// Runs that what an earlier leader observed of a job counts for at most.
pub const MAX_INHERITED_RUNS: u32 = 5;
/// Jobs' worth of trust in the owners' estimates against what ended jobs of the class showed.
pub const ESTIMATE_PRIOR_JOBS: f64 = 3.0;
/// ms, the longest run time a histogram tells apart: a day.
pub const MAX_RUN_TIME_MS: u64 = 86_400_000;

/// How much a second of waiting for an image weighs against a second of lost run time.
pub const IMAGE_FETCH_WEIGHT: f64 = 3.0;
/// ms a job within its team's guarantee waits before other teams must return borrowed room.
pub const QUOTA_RECLAIM_WAIT_MS: u64 = 1_500;
/// ms of run time that a borrowed task may lose to it at most.
pub const QUOTA_RECLAIM_MAX_LOSS_MS: u64 = 15_000;
/// Tasks for which room is reclaimed in one mapping at most, or as many as this part of the
/// fleet's machines if that is more.
pub const QUOTA_RECLAIM_MIN_TASKS: usize = 12;
/// The divisor of the fleet's machines in that limit; see [`QUOTA_RECLAIM_MIN_TASKS`].
pub const QUOTA_RECLAIM_MACHINES_DIVISOR: usize = 8;
/// ms that an urgent task waits for the room that lesser work is leaving for it, before other
/// room is made: a stop takes a report or a direct command, and saving some seconds.
pub const PREEMPTION_PLAN_TIMEOUT_MS: u64 = 3_000;
/// ms after its submission from which a job without a start goes before all but urgent work: the
/// largest jobs must begin within four minutes, whatever else arrives.
pub const STARVATION_MS: u64 = 150_000;
/// ms without a further start after which it does so again.
pub const STARVATION_REPEAT_MS: u64 = 180_000;
/// ms without a start after which a job takes room that the mapping leaves free, whatever its chance:
/// none may wait 90 s beside room for it.
pub const DEFERRED_PLACEMENT_MS: u64 = 60_000;
/// ms after which it may also be room on machines with a queue, which that room would serve next.
pub const DEFERRED_PLACEMENT_QUEUED_MS: u64 = 75_000;
/// One in so many of its tasks goes first then.
pub const STARVED_TASKS_DIVISOR: usize = 8;

// ---- Gangs ------------------------------------------------------------------------------

/// s that a gang's task waits for the others, where the settings don't say: the protocol's example.
pub const DEFAULT_GANG_START_TIMEOUT_S: f64 = 35.0;
/// s within which a gang's tasks notice the loss of one, where the settings don't say; likewise.
pub const DEFAULT_GANG_LOSS_DETECTION_S: f64 = 8.0;
/// s, the least that either may be set to: below it no command could arrive in time.
pub const MIN_GANG_TIMEOUT_S: f64 = 0.1;
/// ms between looks at all gangs; changes are looked at at once.
pub const GANG_CHECK_INTERVAL_MS: u64 = 250;
/// ms that a gang waits for leftover room before machines are reserved for it: as long as it takes
/// one mapping to pass it over.
pub const GANG_RESERVATION_DELAY_MS: u64 = 1_000;
/// One in so many machines may be reserved for gangs that are not urgent.
pub const GANG_RESERVATION_MACHINES_DIVISOR: usize = 4;
/// ms for which room is reserved for a gang at most, and the pause after: smaller work must not wait
/// 90 s beside room that is kept.
pub const GANG_RESERVATION_MAX_MS: u64 = 45_000;
/// ms from the end of a reservation to the next; see [`GANG_RESERVATION_MAX_MS`].
pub const GANG_RESERVATION_PAUSE_MS: u64 = 15_000;
/// ms for which urgent work leaves room alone that is reserved for a gang: as long as it takes to
/// push lesser work aside elsewhere.
pub const URGENT_RESERVATION_WAIT_MS: u64 = 2_500;
/// ms, the soonest that a running task is expected to end: one that is overdue may end any moment.
pub const GANG_MIN_REMAINING_MS: u64 = 1_000;
/// ms of run time that each task of a gang loses by a stop beside its progress: exits, another
/// round of placing, and waiting for the last image.
pub const GANG_RESTART_COST_MS: u64 = 30_000;

// ---- Fleet ------------------------------------------------------------------------------

/// ms between fleet decisions.
pub const AUTOSCALER_INTERVAL_MS: u64 = 2_000;
/// ms between machine lists.
pub const MACHINE_LIST_INTERVAL_MS: u64 = 6_000;
/// ms between catalogue reads on the leader: spot prices move slowly.
pub const CATALOG_READ_INTERVAL_MS: u64 = 60_000;
/// ms before a cloud call is given up.
pub const CLOUD_TIMEOUT_MS: u64 = 4_000;
/// ms of pause after the cloud refused or failed a call.
pub const CLOUD_RETRY_BACKOFF_MS: u64 = 1_500;
/// ms a refused type, zone and kind is left alone at first; doubled to the next constant.
pub const PROVISION_BACKOFF_MS: u64 = 8_000;
/// ms, the longest pause after refusals.
pub const PROVISION_BACKOFF_MAX_MS: u64 = 60_000;
/// Boot times for which an idle machine is kept: renting it again costs one, so keeping it as
/// long is never much worse than knowing the future.
pub const IDLE_RETENTION_BOOTS: f64 = 0.35;
/// Multiples of the catalogue's boot time after which a booting machine is given up. Usual
/// boots take up to 1.5 times.
pub const BOOT_TIMEOUT_MULTIPLE: f64 = 3.0;
/// Boot overdue from here: it no longer counts as coming.
pub const BOOT_LATE_MULTIPLE: f64 = 1.7;
/// Machines asked for in one request (the protocol's limit).
pub const MAX_MACHINES_PER_PROVISION: u32 = 50;
/// Names in one delete request (the protocol's limit).
pub const MAX_MACHINES_PER_DELETE: usize = 100;
/// ms over which arrivals of urgent services are counted.
pub const URGENT_ARRIVAL_WINDOW_MS: u64 = 180_000;
/// Boot times after which a booting machine is not counted as room for urgent services.
pub const HEADROOM_BOOT_LATE_MULTIPLE: f64 = 1.2;
/// Kept free for urgent work: tasks of the usual urgent size.
pub const HEADROOM_TASKS: f64 = 2.0;
/// Most machines rented in one decision of one kind, or this part of the fleet if that is more:
/// keeps a wrong estimate cheap.
pub const SCALE_OUT_STEP_MIN: u32 = 8;
/// The divisor of the fleet in that limit; see [`SCALE_OUT_STEP_MIN`].
pub const SCALE_OUT_STEP_DIVISOR: u32 = 2;
/// Part of the time left to a deadline that the fleet is sized for; the remainder covers late
/// starts and wrong estimates.
pub const SLACK_FRACTION: f64 = 0.85;
/// ms over which arriving deadline work is counted: long, since jobs differ much in size.
pub const ARRIVAL_RATE_WINDOW_MS: u64 = 240_000;
/// Part of the room that such work takes that the fleet's sizing keeps for what is to come.
pub const ARRIVAL_RATE_FRACTION: f64 = 0.15;
/// The same for work that is late: all that comes goes before it.
pub const ARRIVAL_RATE_FRACTION_LATE: f64 = 1.0;
/// Run times after its boot that a machine rented for a deadline needs to be of use for it.
pub const DEADLINE_RUN_TIME_MULTIPLE: f64 = 1.2;
/// Run times after its boot in which rented machines are to finish what is late.
pub const LATE_RUN_TIME_MULTIPLE: f64 = 4.0;
