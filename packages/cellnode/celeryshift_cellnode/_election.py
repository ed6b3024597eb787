"""Election rules: when to acquire the cell and how long an owner may act.

The owner renews a heartbeat row in the store. A node that sees no new
heartbeat for long enough acquires the cell in one transaction, which is
conditional on the versions of the owner row and the heartbeat row. Concurrent
candidates and a live owner therefore exclude each other. Workers refuse orders
with a lower epoch, so a mistaken takeover costs time but not safety.

A worker that no order of the new owner has reached still obeys the former
owner. The former owner therefore stops acting when its lease expires: 0.8 s
after it sent its last heartbeat, or later while every other node has promised
not to acquire the cell. A node gives this promise if the owner has contact
with the store, however slow, or if the node cannot reach the store either.
"""

import attrs

from celeryshift_cellnode import _schema

# Interval of the owner's heartbeats; two in a row may be lost.
HEARTBEAT_INTERVAL_S = 0.25
# Validity of the owner's lease, from when a heartbeat was sent.
OWNER_LEASE_S = 0.8
# Time without a heartbeat after which an owner is replaced. It is not shorter
# than the lease, because a former owner must not start jobs that arrive after
# its successor has read the rows.
SILENCE_TIMEOUT_S = 0.8
# Time without a heartbeat after which an owner is replaced if its port refuses
# connections.
REFUSAL_TIMEOUT_S = 0.5
# On a slow store, a heartbeat is seen with a delay of up to this many store
# calls: the preceding group of writes, its own group and the read.
SLOW_STORE_CALLS = 3.0
# Delay per rank, so that candidates try to acquire the cell one by one.
RANK_DELAY_S = 0.3
# Further delay of a node that doesn't know its configuration yet, before it
# replaces an owner.
UNCONFIGURED_DELAY_S = 0.6
# This many candidates read the owner row often; the others do so rarely.
STANDBY_COUNT = 2
STANDBY_POLL_S = 0.2
OTHER_POLL_S = 2.0
# After this time the leases of an owner's predecessors, and the leases that
# they granted to workers, have expired. The owner then knows all runs.
SETTLED_OWNER_S = 10.0
# A node with less than this fraction of the most cores or the highest
# bandwidth of any node is weak: it owns the cell only while there is no other
# node. So is one with less memory than another: the owner may have accepted
# more before it joined.
WEAK_NODE_FRACTION = 0.5
# Minimum interval at which a node renews its own row and reads those of the
# others, and maximum rate of the renewals of all nodes together. The interval
# grows with the number of nodes, since each node reads all rows.
NODE_RENEWAL_INTERVAL_S = 4.0
NODE_RENEWALS_PER_S = 25.0
# A node counts as gone when its row has not changed for this many renewal
# intervals.
STALE_AFTER_RENEWALS = 3.25
# Timeout of a write that names the owner of the cell.
ACQUIRE_TIMEOUT_S = 2.0
# How long a promise binds the node that gave it.
PROMISE_DURATION_S = 1.2
# How long the owner relies on a promise, from when it was requested.
PROMISE_LEASE_S = 1.0
# An owner has contact with the store unless its calls have been unanswered for
# this long.
STORE_CONTACT_S = 0.6
# A node that can read from the store within this time refuses a promise to an
# owner without contact.
STORE_PROBE_S = 0.25
# Timeout of the last read before an owner resigns; a store that is not slow
# answers well within it.
LAST_PROBE_S = 0.1


@attrs.define(slots=True)
class OwnerView:
    """What a node knows about the owner of the cell."""

    owner: _schema.Owner | None = None
    owner_version: int = 0
    # When the owner was first seen, and for how long its predecessor had been
    # known by then.
    owner_seen_at: float = 0.0
    predecessor_known_s: float = 0.0
    heartbeat_version: int = 0
    # When the newest heartbeat was first seen.
    heartbeat_seen_at: float = 0.0
    # When the rows were last read.
    last_read_at: float = 0.0
    # Since when the owner's port has refused connections.
    refused_since: float | None = None
    # Another process answers at the owner's address, so the owner has ended.
    has_restarted: bool = False
    # Version of the owner row at which this node last stepped down. While the
    # row has this version, this node does not act as the owner, even if the
    # row names it.
    deposed_version: int = 0
    # Until when this node has promised not to acquire the cell.
    promised_until: float = 0.0

    def update(
        self,
        now: float,
        owner: _schema.Owner | None,
        owner_version: int,
        heartbeat_version: int,
    ) -> None:
        """Record the rows that were read from the store."""
        if not self.last_read_at:
            self.heartbeat_seen_at = now
        self.last_read_at = now
        if owner_version != self.owner_version:
            self.owner = owner
            self.owner_version = owner_version
            self.predecessor_known_s = now - (self.owner_seen_at or now)
            self.owner_seen_at = now
            self.heartbeat_seen_at = now
            self.refused_since = None
            self.has_restarted = False
        if heartbeat_version != self.heartbeat_version:
            self.heartbeat_version = heartbeat_version
            self.heartbeat_seen_at = now
            # The refusals may have been caused by a network partition.
            self.refused_since = None

    def former_owner_until(self) -> float:
        """Return until when the owner to be replaced may act.

        Its lease starts when a heartbeat is sent, which is before this node
        sees the heartbeat. The owner does not rely on promises beyond the end
        of this node's own promise.
        """
        return max(self.heartbeat_seen_at + OWNER_LEASE_S, self.promised_until)

    def takeover_reason(
        self,
        now: float,
        rank: int,
        local_node: _schema.Node,
        store_latency_s: float = 0.0,
        is_configured: bool = True,
    ) -> str | None:
        """Return why this node should acquire the cell now, or None.

        The timeouts are longer on a slow store, where heartbeats are delayed.
        """
        has_ended = self.owner is not None and (
            self.owner.node == local_node.name or self.has_restarted
        )
        if now < self.promised_until and not has_ended:
            return None
        delay = rank * RANK_DELAY_S + SLOW_STORE_CALLS * store_latency_s
        if self.owner is None:
            is_due = now - self.heartbeat_seen_at >= delay
            return 'no owner' if is_due else None
        if not is_configured:
            delay += UNCONFIGURED_DELAY_S
        if self.owner.is_process(local_node):
            is_deposed = self.deposed_version == self.owner_version
            return 'deposed without successor' if is_deposed else None
        if has_ended:
            return 'owner restarted'
        silence_s = now - self.heartbeat_seen_at
        is_refused = self.refused_since is not None
        if is_refused and silence_s > REFUSAL_TIMEOUT_S + delay:
            return 'owner refuses connections'
        if silence_s > SILENCE_TIMEOUT_S + delay:
            return 'owner silent'
        return None


@attrs.define(slots=True)
class OwnerLease:
    """Lease of the owner, which may act until it expires."""

    expires_at: float = 0.0

    def renew(self, sent_at: float) -> None:
        """Extend the lease, counted from when a stored heartbeat was sent."""
        self.expires_at = max(self.expires_at, sent_at + OWNER_LEASE_S)

    def extend_by_promises(self, requested_at: float) -> None:
        """Extend the lease after all other nodes have given a promise."""
        self.expires_at = max(self.expires_at, requested_at + PROMISE_LEASE_S)

    def is_valid(self, now: float) -> bool:
        """Return whether the owner may act."""
        return now < self.expires_at


@attrs.frozen(slots=True)
class TakeoverOrder:
    """Order in which nodes may acquire the cell."""

    # Ranks start at 0; the owner has none.
    ranks_by_name: dict[str, int] = attrs.field(factory=dict)
    # Names of nodes that are far less well equipped than others.
    weak: frozenset[str] = frozenset()

    def rank(self, name: str) -> int:
        """Return the rank of a node; a node without one comes last."""
        return self.ranks_by_name.get(name, len(self.ranks_by_name))


def takeover_order(
    nodes: dict[str, _schema.Node], owner: _schema.Owner | None
) -> TakeoverOrder:
    """Return the order in which nodes may acquire the cell.

    Strong nodes come first, because all work of the cell passes through its
    owner. Among them, nodes outside the owner's data centre come first,
    because a network partition affects a data centre as a whole.
    """
    owner_data_centre = (
        nodes[owner.node].data_centre
        if (owner is not None and owner.node in nodes)
        else ''
    )
    weak = _weak_nodes(nodes)
    order = sorted(
        (node.name in weak, node.data_centre == owner_data_centre, node.name)
        for node in nodes.values()
        if owner is None or node.name != owner.node
    )
    ranks = {name: rank for rank, (*_, name) in enumerate(order)}
    return TakeoverOrder(ranks, weak)


def _weak_nodes(nodes: dict[str, _schema.Node]) -> frozenset[str]:
    cores = max((node.cores for node in nodes.values()), default=0.0)
    mbps = max((node.link_mbps for node in nodes.values()), default=0.0)
    memory_mb = max((node.memory_mb for node in nodes.values()), default=0.0)
    return frozenset(
        node.name
        for node in nodes.values()
        if node.cores < WEAK_NODE_FRACTION * cores
        or node.link_mbps < WEAK_NODE_FRACTION * mbps
        or 0 < node.memory_mb < memory_mb
    )
