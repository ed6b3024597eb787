"""Gives the cell to another node, while its owner is still running."""

from collections.abc import Callable
import time

from celeryshift_cellnode import _election
from celeryshift_cellnode import _groupwriter
from celeryshift_cellnode import _membership
from celeryshift_cellnode import _ownerstatus
from celeryshift_cellnode import _peers
from celeryshift_cellnode import _schema
from celeryshift_cellnode import _watchedstore
from celeryshift_cellnode import errors
from celeryshift_cellnode import ports

# A weak owner hands over to a strong node only after this time, because nodes
# that start together appear one after the other.
WEAK_OWNER_GRACE_S = 2.0
# Timeout of the ping that a successor must answer before a handover.
HANDOVER_TIMEOUT_S = 0.5

# Called with the new owner and the version of its row.
AnnounceOwner = Callable[[_schema.Owner, int], None]


class Handover:
    """Handover of the cell from this node to another one."""

    def __init__(
        self,
        store: _watchedstore.WatchedStore,
        status: _ownerstatus.OwnerStatus,
        local_node: _schema.Node,
        membership: _membership.Membership,
        peers: _peers.Peers,
        log_decision: Callable[..., None],
        announce_owner: AnnounceOwner,
    ) -> None:
        self._store = store
        self._status = status
        self._local_node = local_node
        self._membership = membership
        self._peers = peers
        self._log_decision = log_decision
        self._announce_owner = announce_owner
        # Since when this node has been weak compared with others.
        self._weak_since: float | None = None

    async def yield_to_stronger_node(self) -> None:
        """Hand the cell over once a stronger node is available."""
        now = time.monotonic()
        if self._local_node.name not in self._status.takeover_order.weak:
            self._weak_since = None
        elif self._weak_since is None:
            self._weak_since = now
        elif (
            now - self._weak_since > WEAK_OWNER_GRACE_S
            and self._status.lease.is_valid(now)
        ):
            self._weak_since = None
            await self.hand_over(to_strong=True)

    async def hand_over(self, to_strong: bool = False) -> None:
        """Make the first reachable node in takeover order the owner.

        A node without a configuration would start nothing, so it comes last.
        """
        unconfigured = []
        order = self._status.takeover_order
        nodes = sorted(
            (
                node
                for node in self._membership.others
                if not (to_strong and node.name in order.weak)
            ),
            key=lambda node: order.rank(node.name),
        )
        for node in nodes:
            if not self._status.is_owner:
                return
            try:
                answer = await self._peers.call(
                    node.address, 'ping', {}, HANDOVER_TIMEOUT_S
                )
                is_leaving = answer['is_leaving']
                is_configured = answer.get('is_configured', True)
            except errors.PeerError as error:
                self._log_decision(
                    'no_successor', peer=node.name, error=str(error)
                )
                continue
            if is_leaving:
                continue
            if not is_configured:
                unconfigured.append(node)
            elif await self._transfer_to(node):
                return
        for node in [] if to_strong else unconfigured:
            if self._status.is_owner and await self._transfer_to(node):
                return

    async def _transfer_to(self, node: _schema.Node) -> bool:
        """Name a node as the owner; return whether the handover is over.

        It is over after every outcome of the write, so no other node is tried.
        """
        previous = self._status.view.owner
        assert previous is not None
        owner = _schema.Owner(
            node.name, node.address, node.incarnation, previous.epoch + 1
        )
        change = ports.Transaction(
            _schema.CELL,
            {_groupwriter.OWNER: self._status.view.owner_version},
            {_groupwriter.OWNER: _schema.dump(owner)},
        )
        try:
            answer = await self._store.transact(
                change, _election.ACQUIRE_TIMEOUT_S
            )
        except errors.StoreError as error:
            self._log_decision(
                'handover_unknown', to=node.name, error=str(error)
            )
            # The write may take effect, so no other node is tried.
            return True
        if isinstance(answer, ports.Conflict):
            self._status.step_down('the store names a later owner')
            return True
        self._log_decision('cell_handed_over', to=node.name, epoch=owner.epoch)
        self._status.view.update(
            time.monotonic(),
            owner,
            answer.version,
            self._status.view.heartbeat_version,
        )
        self._status.on_lost('handed over')
        self._announce_owner(owner, answer.version)
        return True

    async def resign(self, nodes: list[_schema.Node]) -> None:
        """Give the cell up to one of the nodes that can reach the store.

        The first in takeover order is asked, since a weak node would hand the
        cell over once more.
        """
        if not self._status.is_owner:
            return
        order = self._status.takeover_order
        version = self._status.view.owner_version
        self._status.step_down('only other nodes reach the store')
        for node in sorted(nodes, key=lambda node: order.rank(node.name)):
            try:
                await self._peers.call(
                    node.address, 'resigned', {'version': version}
                )
            except errors.PeerRefusedError as error:
                self._log_decision(
                    'no_successor', peer=node.name, error=str(error)
                )
                continue
            except errors.PeerError as error:
                # The node may have been told. If not, the other nodes notice
                # that the heartbeats have stopped.
                self._log_decision(
                    'no_successor', peer=node.name, error=str(error)
                )
            return
