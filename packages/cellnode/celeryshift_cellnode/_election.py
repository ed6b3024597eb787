"""Who owns the cell: when to take it, and until when an owner may act.

The owner renews a row of the store. Whoever sees no renewal for long enough
takes the cell in one transaction, made under the versions of the owner's row
and of its last renewal, so that two takers or a live owner exclude each
other. Workers refuse orders under a lower epoch, so a mistaken takeover
costs time, not safety. What workers cannot refuse, since no order of the new
owner reached them, is bounded by the time until which the former owner may
act: 0.8 s after its last renewal was sent, or longer as long
as every other node has promised not to take the cell. A node promises if
the owner hears the store, however slowly, or if it does not hear the store
itself.
"""

import attrs

from celeryshift_cellnode import _schema

# An owner renews so often; two renewals may be lost.
HEARTBEAT_INTERVAL_S = 0.25
# The right to act, from the moment at which a renewal was sent.
RIGHT_S = 0.8
# A silent owner is replaced after so long without a renewal; not before its
# right has ended, since jobs that come then must not be known to it.
SILENT_S = 0.8
# One whose port refuses connections, after so long.
REFUSED_S = 0.5
# A renewal that is seen late on a slow store took so many of its calls: the
# group before it, its own, and the look.
SLOW_CALLS = 3.0
# Later standbys leave the earlier ones so much time.
RANK_DELAY_S = 0.3
# The first so many nodes in order look often, the others rarely.
STANDBYS = 2
STANDBY_LOOK_S = 0.2
OTHER_LOOK_S = 2.0
# What an owner did not know when it began is known after this time: leases
# and rights of its predecessors have run out.
SETTLED_S = 8.0
# A node with less than this part of the most cores or bandwidth that any
# has is weak: it owns the cell only while there is no other.
WEAK_PART = 0.5
# A node renews its own row, and reads the others', so often: with many nodes
# more rarely, since each reads the rows of all.
NODE_RENEW_S = 4.0
NODES_PER_RENEW_S = 25.0
# A node whose row is older than so many renewals has gone.
STALE_RENEWALS = 3.25
# A promise not to take the cell lasts so long at the node that gives it.
PROMISE_S = 1.2
# The owner counts on it for so long, from before it asked.
PROMISED_S = 1.0
# An owner that has heard the store within this time is in touch with it.
OWNER_HEARS_S = 0.6
# A node that reaches the store within this time does not promise to an
# owner that is out of touch with it.
STORE_PROBE_S = 0.25
# An owner asks the store once more before it resigns; one that is not slow
# answers well within this.
LAST_LOOK_S = 0.1


@attrs.define(slots=True)
class View:
    """Hold what a node has seen of the owner of the cell."""

    owner: _schema.Owner | None = None
    owner_version: int = 0
    # Since when the owner is known here, and for how long its predecessor
    # had been.
    owner_seen_at: float = 0.0
    former_known_s: float = 0.0
    beat_version: int = 0
    # When the newest renewal was first seen.
    beat_seen_at: float = 0.0
    # When the store was last read.
    looked_at: float = 0.0
    # Since when the owner's port has refused connections.
    refused_since: float | None = None
    # A later process answers under the owner's name: it has ended for sure.
    has_restarted: bool = False
    # The version of a row that names this node, which a worker or the
    # store has told to be out of date.
    deposed_version: int = 0
    # This node has promised not to take the cell before.
    promised_until: float = 0.0

    def look(
        self,
        now: float,
        owner: _schema.Owner | None,
        owner_version: int,
        beat_version: int,
    ) -> None:
        """Take in what the store says."""
        if not self.looked_at:
            self.beat_seen_at = now
        self.looked_at = now
        if owner_version != self.owner_version:
            self.owner = owner
            self.owner_version = owner_version
            self.former_known_s = now - (self.owner_seen_at or now)
            self.owner_seen_at = now
            self.beat_seen_at = now
            self.refused_since = None
            self.has_restarted = False
        if beat_version != self.beat_version:
            self.beat_version = beat_version
            self.beat_seen_at = now
            # It may have been a cut that looks like a refusal.
            self.refused_since = None

    def former_right_until(self) -> float:
        """Give until when the owner that is replaced may have acted.

        It counts its right from when a renewal was sent, which is before it
        was seen here, and no longer than this node has promised.
        """
        return max(self.beat_seen_at + RIGHT_S, self.promised_until)

    def reason_to_take(
        self,
        now: float,
        rank: int,
        me: _schema.Node,
        store_took_s: float = 0.0,
    ) -> str | None:
        """Say why this node should take the cell now, if it should.

        Through a slow store, renewals and looks take their time.
        """
        is_ended = self.owner is not None and (
            self.owner.node == me.name or self.has_restarted
        )
        if now < self.promised_until and not is_ended:
            return None
        delay = rank * RANK_DELAY_S + SLOW_CALLS * store_took_s
        if self.owner is None:
            is_due = now - self.beat_seen_at >= delay
            return 'no owner' if is_due else None
        if self.owner.is_process(me):
            is_deposed = self.deposed_version == self.owner_version
            return 'deposed without successor' if is_deposed else None
        if is_ended:
            return 'owner restarted'
        unseen_s = now - self.beat_seen_at
        is_refused = self.refused_since is not None
        if is_refused and unseen_s > REFUSED_S + delay:
            return 'owner refuses connections'
        if unseen_s > SILENT_S + delay:
            return 'owner silent'
        return None


@attrs.define(slots=True)
class OwnerLease:
    """Hold until when the owner may act."""

    expires_at: float = 0.0

    def renewed(self, sent_at: float) -> None:
        """Count a renewal that is stored, from when it was sent."""
        self.expires_at = max(self.expires_at, sent_at + RIGHT_S)

    def promised(self, asked_at: float) -> None:
        """Count the promises of all other nodes, from when they were asked."""
        self.expires_at = max(self.expires_at, asked_at + PROMISED_S)

    def holds(self, now: float) -> bool:
        """Tell whether the owner may act."""
        return now < self.expires_at


@attrs.frozen(slots=True)
class Standing:
    """Hold whose turn it is to take the cell, among some nodes."""

    # From 0; the owner has none.
    turns_by_name: dict[str, int] = attrs.field(factory=dict)
    # Nodes than which others are far better equipped.
    weak: frozenset[str] = frozenset()

    def turn(self, name: str) -> int:
        """Give the turn of a node; one that has none comes last."""
        return self.turns_by_name.get(name, len(self.turns_by_name))


def stand(
    nodes: dict[str, _schema.Node], owner: _schema.Owner | None
) -> Standing:
    """Work out the turns of the nodes that may take the cell.

    Strong nodes come first, since all work of the cell passes through its
    owner; among these, nodes of other data centres than the owner's, since a
    cut takes a data centre as a whole.
    """
    home = (
        nodes[owner.node].data_centre
        if (owner is not None and owner.node in nodes)
        else ''
    )
    weak = _weak_nodes(nodes)
    order = sorted(
        (node.name in weak, node.data_centre == home, node.name)
        for node in nodes.values()
        if owner is None or node.name != owner.node
    )
    turns = {name: turn for turn, (*_, name) in enumerate(order)}
    return Standing(turns, weak)


def _weak_nodes(nodes: dict[str, _schema.Node]) -> frozenset[str]:
    cores = max((node.cores for node in nodes.values()), default=0.0)
    mbps = max((node.link_mbps for node in nodes.values()), default=0.0)
    return frozenset(
        node.name
        for node in nodes.values()
        if node.cores < WEAK_PART * cores or node.link_mbps < WEAK_PART * mbps
    )
