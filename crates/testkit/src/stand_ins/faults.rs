//! The faults in force: between nodes, at the store, at the workers, and what users do to provoke
//! some. They hold what is wrong until when; the simulation asks them and acts on it.
use super::parameters::Ms;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// How late a delayed transaction arrives: after its sender has given it up.
const MIN_TRANSACTION_DELAY_MS: Ms = 2_000;
const MAX_TRANSACTION_DELAY_MS: Ms = 12_000;

/// Values from one bound to the other that differ much from one to the next, always the same.
fn deterministic_spread(ordinal: u64, from: Ms, to: Ms) -> Ms {
    from + ordinal * 37 % 100 * (to - from) / 100
}

/// A fault that hits one in so many candidates, in a fixed pattern.
#[derive(Clone, Debug, Default)]
pub struct SampledFault {
    /// One in how many is hit; 0 before the fault is first started.
    every: u64,
    until: Ms,
    /// Candidates seen while the fault was in force, at any time.
    candidates: u64,
}

impl SampledFault {
    /// From now until then one in so many is hit.
    pub fn start(&mut self, every: u64, until: Ms) {
        self.every = every;
        self.until = until;
    }

    fn is_active(&self, now: Ms) -> bool {
        self.every > 0 && now < self.until
    }

    /// Counts a candidate; returns which hit it is, the first being 1, if it is one.
    fn next_hit(&mut self, now: Ms) -> Option<u64> {
        if !self.is_active(now) {
            return None;
        }
        self.candidates += 1;
        (self.candidates % self.every == 0).then_some(self.candidates / self.every)
    }
}

/// Two nodes, in either order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct NodePair {
    lower: usize,
    higher: usize,
}

impl NodePair {
    /// The pair of two nodes.
    pub fn new(one: usize, other: usize) -> NodePair {
        NodePair {
            lower: one.min(other),
            higher: one.max(other),
        }
    }
}

/// A zone's machines and one node that reach nobody else but the store.
#[derive(Clone, Debug)]
pub struct ZonePartition {
    /// The zone of the machines.
    pub zone: String,
    /// The node that they reach.
    pub node: usize,
    /// When the partition ends.
    pub until: Ms,
}

/// A node that reaches neither the store nor other nodes, but its workers.
#[derive(Clone, Copy, Debug)]
pub struct IsolatedNode {
    /// The node.
    pub node: usize,
    /// When its isolation ends.
    pub until: Ms,
}

/// Faults between nodes, and between nodes and zones.
#[derive(Default)]
pub struct NetworkFaults {
    /// The zone that reaches one node only.
    pub zone_partition: Option<ZonePartition>,
    /// The node that reaches its workers only.
    pub isolated_node: Option<IsolatedNode>,
    /// Until when the links between two nodes are down.
    pub links_down_until: BTreeMap<NodePair, Ms>,
    /// Until when frames between two nodes are held back; they arrive in order afterwards.
    pub frames_held_until: BTreeMap<NodePair, Ms>,
}

impl NetworkFaults {
    fn active_zone_partition(&self, now: Ms) -> Option<&ZonePartition> {
        self.zone_partition
            .as_ref()
            .filter(|partition| now < partition.until)
    }

    /// Whether a node and the machines of a zone are partitioned from each other.
    pub(crate) fn is_node_partitioned_from_zone(&self, now: Ms, node: usize, zone: &str) -> bool {
        self.active_zone_partition(now)
            .is_some_and(|partition| (zone == partition.zone) != (node == partition.node))
    }

    /// Whether the links between two nodes are down.
    pub(crate) fn are_links_down(&self, now: Ms, one: usize, other: usize) -> bool {
        let until = self.links_down_until.get(&NodePair::new(one, other));
        until.is_some_and(|until| now < *until)
    }

    /// Whether two nodes are partitioned from each other, for whichever reason.
    pub(crate) fn are_nodes_partitioned(&self, now: Ms, one: usize, other: usize) -> bool {
        if self.are_links_down(now, one, other) {
            return true;
        }
        let separates = |node: usize| (node == one) != (node == other);
        let isolated = self.isolated_node.filter(|isolated| now < isolated.until);
        isolated.is_some_and(|isolated| separates(isolated.node))
            || self
                .active_zone_partition(now)
                .is_some_and(|partition| separates(partition.node))
    }

    /// Until when a node reaches only its workers, if it does.
    pub(crate) fn isolated_until(&self, now: Ms, node: usize) -> Option<Ms> {
        self.isolated_node
            .filter(|isolated| isolated.node == node && now < isolated.until)
            .map(|isolated| isolated.until)
    }

    /// Until when frames between two nodes are held back; 0 if they never were.
    pub(crate) fn frames_held_until(&self, one: usize, other: usize) -> Ms {
        let until = self.frames_held_until.get(&NodePair::new(one, other));
        until.copied().unwrap_or(0)
    }
}

/// What a fault does to the transaction that it waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransactionFaultKind {
    /// The node's process ends right before it sends it.
    CrashBefore,
    /// The node's process ends right after the store applied it.
    CrashAfter,
    /// The store applies it, but the response is lost.
    DropResponse,
    /// It reaches the store only so much later.
    DelayRequest,
    /// The store applies it, but its response arrives only so much later.
    DelayResponse,
}

/// A fault that waits for a transaction whose body holds a text, and hits it once.
#[derive(Clone, Debug)]
pub struct TransactionFault {
    /// What it does.
    pub kind: TransactionFaultKind,
    /// The text that it waits for.
    pub key: String,
    /// How much later the message arrives, or the process is back.
    pub delay_ms: Ms,
}

/// The store takes longer.
#[derive(Clone, Copy, Debug)]
pub struct StoreSlowdown {
    /// How much longer, half of it each way.
    pub extra_ms: Ms,
    /// When it ends.
    pub until: Ms,
}

/// Faults of the store and on the way to it.
#[derive(Default)]
pub struct StoreFaults {
    /// Those that wait for their transaction.
    pub transaction_faults: Vec<TransactionFault>,
    /// Until when the store answers 503, for each node.
    pub unavailable_until: BTreeMap<usize, Ms>,
    /// The slowdown, also one that is over.
    pub slowdown: Option<StoreSlowdown>,
    /// Transactions that are applied late and get no response.
    pub delayed_transactions: SampledFault,
    /// Transactions that are applied at once and whose response is lost.
    pub dropped_responses: SampledFault,
}

impl StoreFaults {
    /// The first fault of that kind which waits for this transaction; it is used up.
    pub(crate) fn take_transaction_fault(
        &mut self,
        path: &str,
        body: &[u8],
        kind: TransactionFaultKind,
    ) -> Option<TransactionFault> {
        if path != "/multi" {
            return None;
        }
        let text = String::from_utf8_lossy(body);
        let position = self
            .transaction_faults
            .iter()
            .position(|fault| fault.kind == kind && text.contains(fault.key.as_str()))?;
        Some(self.transaction_faults.remove(position))
    }

    /// How late this transaction arrives, if it is one of the delayed ones.
    pub(crate) fn next_transaction_delay(&mut self, now: Ms) -> Option<Ms> {
        let hit = self.delayed_transactions.next_hit(now)?;
        Some(deterministic_spread(
            hit,
            MIN_TRANSACTION_DELAY_MS,
            MAX_TRANSACTION_DELAY_MS,
        ))
    }

    /// Whether the response to this transaction, which is applied, is one of the lost ones.
    pub(crate) fn should_drop_response(&mut self, now: Ms) -> bool {
        self.dropped_responses.next_hit(now).is_some()
    }

    /// How much longer the store takes each way.
    pub(crate) fn extra_latency(&self, now: Ms) -> Ms {
        self.slowdown
            .filter(|slowdown| now < slowdown.until)
            .map_or(0, |slowdown| slowdown.extra_ms / 2)
    }

    /// Whether the store answers that node 503.
    pub(crate) fn is_unavailable_to(&self, now: Ms, node: usize) -> bool {
        let until = self.unavailable_until.get(&node);
        until.is_some_and(|until| now < *until)
    }
}

/// A share of heartbeats that arrive once more, late, at each node in turn.
#[derive(Default)]
pub struct HeartbeatDuplication {
    /// Which heartbeats are copied.
    pub sample: SampledFault,
    /// How late a copy arrives at least.
    pub min_delay_ms: Ms,
    /// How late a copy arrives at most.
    pub max_delay_ms: Ms,
}

/// A copy of a heartbeat: when and where it arrives.
#[derive(Clone, Copy)]
pub(crate) struct HeartbeatCopy {
    pub delay_ms: Ms,
    pub node: usize,
}

impl HeartbeatDuplication {
    /// The copy of this heartbeat, if it is one of those that are copied.
    fn next_copy(&mut self, now: Ms, nodes: usize) -> Option<HeartbeatCopy> {
        let hit = self.sample.next_hit(now)?;
        Some(HeartbeatCopy {
            delay_ms: deterministic_spread(hit, self.min_delay_ms, self.max_delay_ms),
            node: hit as usize % nodes,
        })
    }
}

/// Faults of machines and of the messages between them and the nodes, by machine id.
#[derive(Default)]
pub struct WorkerFaults {
    /// Until when a machine neither receives nor sends; what is sent to it arrives afterwards.
    pub partitioned_until: BTreeMap<String, Ms>,
    /// Until when replies and commands don't reach a machine, though its heartbeats arrive.
    pub unreachable_until: BTreeMap<String, Ms>,
    /// Until when a machine's heartbeats reach no node, though commands reach it.
    pub heartbeats_dropped_until: BTreeMap<String, Ms>,
    /// Until when only direct commands to a machine are held back.
    pub direct_commands_held_until: BTreeMap<String, Ms>,
    /// Every heartbeat of a machine arrives once more so much later, at another node.
    pub heartbeat_copy_delay_ms: BTreeMap<String, Ms>,
    /// Every direct command to a machine arrives once more so much later.
    pub direct_command_copy_delay_ms: BTreeMap<String, Ms>,
    /// Heartbeats of all machines that are copied.
    pub duplicated_heartbeats: HeartbeatDuplication,
    /// Encoded heartbeats that are withheld, to be delivered late, one at a time.
    pub withheld_heartbeats: VecDeque<Vec<u8>>,
    /// Machines that have crashed.
    pub crashed_machines: BTreeSet<String>,
}

fn is_in_force(faults: &BTreeMap<String, Ms>, id: &str, now: Ms) -> bool {
    faults.get(id).is_some_and(|until| now < *until)
}

impl WorkerFaults {
    /// Whether heartbeats of the machine are lost.
    pub(crate) fn loses_heartbeats(&self, now: Ms, id: &str) -> bool {
        is_in_force(&self.partitioned_until, id, now)
            || is_in_force(&self.heartbeats_dropped_until, id, now)
    }

    /// Whether replies to the machine's heartbeats are lost.
    pub(crate) fn loses_replies(&self, now: Ms, id: &str) -> bool {
        is_in_force(&self.partitioned_until, id, now)
            || is_in_force(&self.unreachable_until, id, now)
    }

    /// Until when direct commands to the machine are held back; may be past.
    pub(crate) fn direct_commands_held_until(&self, id: &str) -> Option<Ms> {
        let faults = [
            &self.partitioned_until,
            &self.direct_commands_held_until,
            &self.unreachable_until,
        ];
        faults
            .iter()
            .filter_map(|until| until.get(id).copied())
            .max()
    }

    /// The copy of a heartbeat that the machine sends to that node, if there is one.
    pub(crate) fn next_heartbeat_copy(
        &mut self,
        now: Ms,
        id: &str,
        node: usize,
        nodes: usize,
    ) -> Option<HeartbeatCopy> {
        match self.heartbeat_copy_delay_ms.get(id) {
            Some(delay_ms) => Some(HeartbeatCopy {
                delay_ms: *delay_ms,
                node: (node + 1) % nodes,
            }),
            None => self.duplicated_heartbeats.next_copy(now, nodes),
        }
    }
}

/// What users do in a given share or for a given time.
#[derive(Default)]
pub struct UserFaults {
    /// Jobs that are cancelled soon after their submission.
    pub cancellations: SampledFault,
    /// How long after its submission a job is cancelled at most.
    pub max_cancellation_delay_ms: Ms,
    /// Until when users ask at all nodes right after each answer that a job was accepted or ended.
    pub read_after_write_checks_until: Ms,
}

impl UserFaults {
    /// How much later the job that is submitted now is cancelled, if it is one of those.
    pub(crate) fn next_cancellation_delay(&mut self, now: Ms) -> Option<Ms> {
        let hit = self.cancellations.next_hit(now)?;
        Some(deterministic_spread(hit, 0, self.max_cancellation_delay_ms))
    }
}
