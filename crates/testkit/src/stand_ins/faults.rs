//! The faults that can be active: between nodes, at the store, at the workers, and user behaviour
//! that provokes failures. The types here only record which faults are active and until when; the
//! simulation queries them and applies the effects.
use super::parameters::Ms;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Bounds of the delay of a delayed transaction. It arrives after its sender's call has timed out.
const MIN_TRANSACTION_DELAY_MS: Ms = 2_000;
const MAX_TRANSACTION_DELAY_MS: Ms = 12_000;

/// Returns a value between `from` and `to`. The values of consecutive ordinals differ widely but
/// are the same in every run.
fn deterministic_spread(ordinal: u64, from: Ms, to: Ms) -> Ms {
    from + ordinal * 37 % 100 * (to - from) / 100
}

/// A fault that affects every n-th candidate.
#[derive(Clone, Debug, Default)]
pub struct SampledFault {
    /// One in this many candidates is affected; 0 until the fault is first started.
    every: u64,
    until: Ms,
    /// The number of candidates counted while the fault was active, over all activations.
    candidates: u64,
}

impl SampledFault {
    /// Activates the fault until `until`: one in `every` candidates is affected.
    pub fn start(&mut self, every: u64, until: Ms) {
        self.every = every;
        self.until = until;
    }

    fn is_active(&self, now: Ms) -> bool {
        self.every > 0 && now < self.until
    }

    /// Counts a candidate. If it is affected, returns the number of affected candidates so far,
    /// beginning with 1.
    fn next_hit(&mut self, now: Ms) -> Option<u64> {
        if !self.is_active(now) {
            return None;
        }
        self.candidates += 1;
        (self.candidates % self.every == 0).then_some(self.candidates / self.every)
    }
}

/// An unordered pair of nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct NodePair {
    lower: usize,
    higher: usize,
}

impl NodePair {
    /// Returns the pair of two nodes, given in either order.
    pub fn new(one: usize, other: usize) -> NodePair {
        NodePair {
            lower: one.min(other),
            higher: one.max(other),
        }
    }
}

/// A partition that separates a zone's machines and one node from the other machines and nodes.
/// Calls to the store and the cloud, and requests of users, are not affected.
#[derive(Clone, Debug)]
pub struct ZonePartition {
    /// The zone whose machines are partitioned.
    pub zone: String,
    /// The only node that the zone's machines reach.
    pub node: usize,
    /// When the partition ends.
    pub until: Ms,
}

/// A node that reaches its workers and users, but neither the store nor other nodes.
#[derive(Clone, Copy, Debug)]
pub struct IsolatedNode {
    /// The isolated node.
    pub node: usize,
    /// When its isolation ends.
    pub until: Ms,
}

/// Faults of the network between nodes, and between nodes and zones.
#[derive(Default)]
pub struct NetworkFaults {
    /// The zone whose machines reach only one node.
    pub zone_partition: Option<ZonePartition>,
    /// The node that reaches neither the store nor other nodes.
    pub isolated_node: Option<IsolatedNode>,
    /// When the links between two nodes come up again.
    pub links_down_until: BTreeMap<NodePair, Ms>,
    /// When frames between two nodes cease to be held back; the held frames then arrive in order.
    pub frames_held_until: BTreeMap<NodePair, Ms>,
}

impl NetworkFaults {
    fn active_zone_partition(&self, now: Ms) -> Option<&ZonePartition> {
        self.zone_partition
            .as_ref()
            .filter(|partition| now < partition.until)
    }

    /// Returns whether a node and a zone's machines are partitioned from each other.
    pub(crate) fn is_node_partitioned_from_zone(&self, now: Ms, node: usize, zone: &str) -> bool {
        self.active_zone_partition(now)
            .is_some_and(|partition| (zone == partition.zone) != (node == partition.node))
    }

    /// Returns whether the links between two nodes are down.
    pub(crate) fn are_links_down(&self, now: Ms, one: usize, other: usize) -> bool {
        let until = self.links_down_until.get(&NodePair::new(one, other));
        until.is_some_and(|until| now < *until)
    }

    /// Returns whether two nodes are partitioned from each other by any fault.
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

    /// Returns the end of a node's isolation if the node is isolated now.
    pub(crate) fn isolated_until(&self, now: Ms, node: usize) -> Option<Ms> {
        self.isolated_node
            .filter(|isolated| isolated.node == node && now < isolated.until)
            .map(|isolated| isolated.until)
    }

    /// Returns the time until which frames between two nodes are held back, which may have passed;
    /// 0 if they never were.
    pub(crate) fn frames_held_until(&self, one: usize, other: usize) -> Ms {
        let until = self.frames_held_until.get(&NodePair::new(one, other));
        until.copied().unwrap_or(0)
    }
}

/// The effect of a transaction fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransactionFaultKind {
    /// The node's process ends right before it sends the transaction.
    CrashBefore,
    /// The node's process ends right after the store has applied the transaction.
    CrashAfter,
    /// The store applies the transaction, but the response is lost.
    DropResponse,
    /// The transaction reaches the store late.
    DelayRequest,
    /// The store applies the transaction, but the response arrives late.
    DelayResponse,
}

/// A fault that applies once, to the next transaction whose body contains a given text.
#[derive(Clone, Debug)]
pub struct TransactionFault {
    /// The effect of the fault.
    pub kind: TransactionFaultKind,
    /// The text that the transaction's body contains.
    pub key: String,
    /// The delay of the message, or of the restart of a crashed process.
    pub delay_ms: Ms,
}

/// A period in which calls to the store take longer.
#[derive(Clone, Copy, Debug)]
pub struct StoreSlowdown {
    /// The extra time of a call and its response together; half of it applies to each direction.
    pub extra_ms: Ms,
    /// When the slowdown ends.
    pub until: Ms,
}

/// Faults of the store and of the messages to and from it.
#[derive(Default)]
pub struct StoreFaults {
    /// The faults that each apply to one transaction and have not been applied yet.
    pub transaction_faults: Vec<TransactionFault>,
    /// For each node, when the store ceases to answer it with status 503.
    pub unavailable_until: BTreeMap<usize, Ms>,
    /// The latest slowdown, which may be over.
    pub slowdown: Option<StoreSlowdown>,
    /// The transactions that are applied late and get no response.
    pub delayed_transactions: SampledFault,
    /// The transactions that are applied at once but whose response is lost.
    pub dropped_responses: SampledFault,
}

impl StoreFaults {
    /// Removes and returns the first fault of that kind that matches the transaction.
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

    /// Returns the delay of this transaction if it is one of the delayed ones.
    pub(crate) fn next_transaction_delay(&mut self, now: Ms) -> Option<Ms> {
        let hit = self.delayed_transactions.next_hit(now)?;
        Some(deterministic_spread(
            hit,
            MIN_TRANSACTION_DELAY_MS,
            MAX_TRANSACTION_DELAY_MS,
        ))
    }

    /// Returns whether the response to this transaction, which the store applies, is lost.
    pub(crate) fn should_drop_response(&mut self, now: Ms) -> bool {
        self.dropped_responses.next_hit(now).is_some()
    }

    /// Returns the extra latency of the store in each direction.
    pub(crate) fn extra_latency(&self, now: Ms) -> Ms {
        self.slowdown
            .filter(|slowdown| now < slowdown.until)
            .map_or(0, |slowdown| slowdown.extra_ms / 2)
    }

    /// Returns whether the store answers the node's calls with status 503.
    pub(crate) fn is_unavailable_to(&self, now: Ms, node: usize) -> bool {
        let until = self.unavailable_until.get(&node);
        until.is_some_and(|until| now < *until)
    }
}

/// A fault that delivers a share of the heartbeats a second time, late, to each node in turn.
#[derive(Default)]
pub struct HeartbeatDuplication {
    /// The heartbeats that are duplicated.
    pub sample: SampledFault,
    /// The shortest delay of a duplicate.
    pub min_delay_ms: Ms,
    /// The longest delay of a duplicate.
    pub max_delay_ms: Ms,
}

/// When and where a duplicate of a heartbeat arrives.
#[derive(Clone, Copy)]
pub(crate) struct HeartbeatCopy {
    pub delay_ms: Ms,
    pub node: usize,
}

impl HeartbeatDuplication {
    /// Returns the duplicate of this heartbeat if it is one of those that are duplicated.
    fn next_copy(&mut self, now: Ms, nodes: usize) -> Option<HeartbeatCopy> {
        let hit = self.sample.next_hit(now)?;
        Some(HeartbeatCopy {
            delay_ms: deterministic_spread(hit, self.min_delay_ms, self.max_delay_ms),
            node: hit as usize % nodes,
        })
    }
}

/// Faults of machines and of the messages between them and the nodes. The maps are keyed by machine
/// id.
#[derive(Default)]
pub struct WorkerFaults {
    /// When the partition of a machine ends. Until then its heartbeats and the replies to them are
    /// lost, and calls to it are held back and arrive afterwards.
    pub partitioned_until: BTreeMap<String, Ms>,
    /// When a machine becomes reachable again. Until then its heartbeats arrive, but replies to
    /// them are lost, and calls to it are held back and arrive afterwards.
    pub unreachable_until: BTreeMap<String, Ms>,
    /// When a machine's heartbeats cease to be lost. Until then commands still reach the machine.
    pub heartbeats_dropped_until: BTreeMap<String, Ms>,
    /// When direct calls to a machine cease to be held back. Heartbeats and replies are not
    /// affected.
    pub direct_commands_held_until: BTreeMap<String, Ms>,
    /// The delay after which each heartbeat of a machine arrives a second time, at another node.
    pub heartbeat_copy_delay_ms: BTreeMap<String, Ms>,
    /// The delay after which each direct command to a machine arrives a second time.
    pub direct_command_copy_delay_ms: BTreeMap<String, Ms>,
    /// The heartbeats of any machine that are duplicated.
    pub duplicated_heartbeats: HeartbeatDuplication,
    /// Encoded heartbeats that are withheld; each is delivered later on request, the oldest first.
    pub withheld_heartbeats: VecDeque<Vec<u8>>,
    /// Machines that have crashed.
    pub crashed_machines: BTreeSet<String>,
}

fn is_active_for(faults: &BTreeMap<String, Ms>, id: &str, now: Ms) -> bool {
    faults.get(id).is_some_and(|until| now < *until)
}

impl WorkerFaults {
    /// Returns whether heartbeats of the machine are lost.
    pub(crate) fn loses_heartbeats(&self, now: Ms, id: &str) -> bool {
        is_active_for(&self.partitioned_until, id, now)
            || is_active_for(&self.heartbeats_dropped_until, id, now)
    }

    /// Returns whether replies to the machine's heartbeats are lost.
    pub(crate) fn loses_replies(&self, now: Ms, id: &str) -> bool {
        is_active_for(&self.partitioned_until, id, now)
            || is_active_for(&self.unreachable_until, id, now)
    }

    /// Returns the time until which direct calls to the machine are held back, which may have
    /// passed; `None` if they never were.
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

    /// Returns the duplicate of a heartbeat that the machine sends to `node`, if a fault asks for
    /// one.
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

/// User behaviour that provokes failures.
#[derive(Default)]
pub struct UserFaults {
    /// The jobs that are cancelled soon after their submission.
    pub cancellations: SampledFault,
    /// The longest time between a job's submission and its cancellation.
    pub max_cancellation_delay_ms: Ms,
    /// Until when, right after each reply that a job was accepted or ended, users send requests
    /// about the job to all nodes.
    pub read_after_write_checks_until: Ms,
}

impl UserFaults {
    /// Returns the delay after which the job submitted now is cancelled, if the fault selects it.
    pub(crate) fn next_cancellation_delay(&mut self, now: Ms) -> Option<Ms> {
        let hit = self.cancellations.next_hit(now)?;
        Some(deterministic_spread(hit, 0, self.max_cancellation_delay_ms))
    }
}
