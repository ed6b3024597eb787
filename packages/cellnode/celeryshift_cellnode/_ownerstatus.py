"""Tells whether this node owns the cell, and who may acquire it next."""

from collections.abc import Callable

from celeryshift_cellnode import _election
from celeryshift_cellnode import _membership
from celeryshift_cellnode import _schema


class OwnerStatus:
    """What this node knows about the owner, and its own lease as the owner."""

    def __init__(
        self,
        local_node: _schema.Node,
        membership: _membership.Membership,
        log_decision: Callable[..., None],
        on_lost: Callable[[str], None],
    ) -> None:
        self._local_node = local_node
        self._membership = membership
        self._log_decision = log_decision
        # Called with the reason when this node stops acting as the owner.
        self.on_lost = on_lost
        self.view = _election.OwnerView()
        self.lease = _election.OwnerLease()
        # Inputs from which the cached takeover order was computed.
        self._order_inputs: tuple[
            dict[str, _schema.Node], _schema.Owner | None
        ] = ({}, None)
        self._cached_order = _election.TakeoverOrder()

    @property
    def owner(self) -> _schema.Owner | None:
        """Return the last known owner."""
        return self.view.owner

    @property
    def is_owner(self) -> bool:
        """Return whether this process owns the cell."""
        view = self.view
        return (
            view.owner is not None
            and view.owner.is_process(self._local_node)
            and view.deposed_version != view.owner_version
        )

    def step_down(self, reason: str) -> None:
        """Stop acting as the owner."""
        if self.is_owner:
            self._log_decision(
                'cell_lost', why=reason, version=self.view.owner_version
            )
        self.view.deposed_version = self.view.owner_version
        self.on_lost(reason)

    @property
    def takeover_order(self) -> _election.TakeoverOrder:
        """Return the takeover order, recomputed when its inputs change."""
        nodes, owner = self._membership.nodes, self.view.owner
        known_nodes, known_owner = self._order_inputs
        if known_nodes is not nodes or known_owner != owner:
            self._order_inputs = nodes, owner
            self._cached_order = _election.takeover_order(nodes, owner)
        return self._cached_order

    @property
    def rank(self) -> int:
        """Return the rank of this node in the takeover order."""
        return self.takeover_order.rank(self._local_node.name)
