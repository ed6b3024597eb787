"""Tracks the running nodes, each of which keeps a row in the store."""

import asyncio
from collections.abc import Callable
import time
from typing import Any

from celeryshift_cellnode import _election
from celeryshift_cellnode import _records
from celeryshift_cellnode import _schema
from celeryshift_cellnode import errors
from celeryshift_cellnode import ports

WRITE_TIMEOUT_S = 2.0
# Any node removes rows that have not changed for this long.
REMOVE_STALE_AFTER_S = 60.0
# First interval between reads, which doubles up to the regular one.
INITIAL_INTERVAL_S = 0.3
# Names in a log line; every node logs each change, so that the volume of the
# logs of a large fleet would otherwise grow with the square of its size.
MAX_LOGGED_NAMES = 8


class Membership:
    """Running nodes, as known to this node."""

    def __init__(
        self,
        store: ports.Store,
        local_node: _schema.Node,
        log_decision: Callable[..., None],
        on_changed: Callable[[], None] = lambda: None,
    ) -> None:
        self._store = store
        self._local_node = local_node
        self._log_decision = log_decision
        # Called after ``nodes`` has been replaced.
        self._on_changed = on_changed
        self._versions: dict[str, int] = {}
        self._changed_at: dict[str, float] = {}
        self._is_leaving = False
        # Incarnations of processes that have announced their end.
        self._departed: set[str] = set()
        # Decoded rows of the last read, reused because most rows do not
        # change.
        self._decoded: dict[bytes, _schema.Node] = {}
        # Invalid rows that have been logged, by key.
        self._unreadable: dict[str, bytes] = {}
        # Replaced if the contents change, and never modified, so that users
        # can detect a change by identity.
        self.nodes: dict[str, _schema.Node] = {local_node.name: local_node}

    @property
    def _renewal_interval_s(self) -> float:
        load_bound_s = len(self.nodes) / _election.NODE_RENEWALS_PER_S
        return max(_election.NODE_RENEWAL_INTERVAL_S, load_bound_s)

    @property
    def others(self) -> list[_schema.Node]:
        """Return all nodes except this one."""
        local_name = self._local_node.name
        return [
            node for node in self.nodes.values() if node.name != local_name
        ]

    async def run(self) -> None:
        """Renew this node's row, and read those of the others.

        The interval between reads is short at first, because nodes may have
        started together. The row is written at the regular interval, since
        all nodes write to one part of the store.
        """
        interval_s = INITIAL_INTERVAL_S
        write_due_at = 0.0
        was_read = True
        while True:
            try:
                now = time.monotonic()
                if not self._is_leaving and now >= write_due_at:
                    await self._write()
                    # The next iteration may come a little early.
                    write_due_at = now + 0.9 * self._renewal_interval_s
                await self.read()
                was_read = True
            except errors.StoreError as error:
                if was_read:
                    self._log_decision('membership_unknown', error=str(error))
                was_read = False
            await asyncio.sleep(interval_s)
            interval_s = min(2 * interval_s, self._renewal_interval_s)

    async def _write(self) -> None:
        key = ports.Key(_schema.NODES, self._local_node.name)
        change = ports.Transaction(
            '', puts={key: _schema.dump(self._local_node)}
        )
        await self._store.transact(change, WRITE_TIMEOUT_S)

    async def read(self) -> None:
        """Read the rows of all nodes."""
        rows, _ = await _records.read_all(self._store, _schema.NODES, '')
        now = time.monotonic()
        nodes = {self._local_node.name: self._local_node}
        expired = []
        decoded = {}
        stale_s = _election.STALE_AFTER_RENEWALS * self._renewal_interval_s
        for row in rows:
            if self._versions.get(row.key) != row.version:
                self._versions[row.key] = row.version
                self._changed_at[row.key] = now
            unchanged_s = now - self._changed_at[row.key]
            if unchanged_s < stale_s:
                node = self._decoded.get(row.value) or self._decode(row)
                if node is None:
                    continue
                decoded[row.value] = node
                if node.incarnation not in self._departed:
                    nodes[row.key] = node
            elif unchanged_s > max(REMOVE_STALE_AFTER_S, 2 * stale_s):
                expired.append(row)
        nodes[self._local_node.name] = self._local_node
        self._decoded = decoded
        if nodes != self.nodes:
            self._log_changes(nodes)
            self._replace_nodes(nodes)
        if expired:
            await self._remove(expired)

    def _decode(self, row: ports.Row) -> _schema.Node | None:
        """Return the node of a row, or None if the row is invalid."""
        try:
            return _schema.load(_schema.Node, row.value)
        except Exception as error:
            # A later release or a fault may have written it.
            if self._unreadable.get(row.key) != row.value:
                self._log_decision(
                    'node_unreadable',
                    peer=row.key,
                    error=errors.describe(error),
                )
            self._unreadable[row.key] = row.value
            return None

    async def leave(self) -> None:
        """Remove this node's row, and stop writing it."""
        self._is_leaving = True
        key = ports.Key(_schema.NODES, self._local_node.name)
        change = ports.Transaction('', removes=[key])
        await self._store.transact(change, WRITE_TIMEOUT_S)

    async def handle_leave(self, body: Any) -> dict[str, Any]:
        """Remove a process that has announced its end."""
        self._departed.add(body['incarnation'])
        node = self.nodes.get(body['name'])
        if node is not None and node.incarnation in self._departed:
            self._replace_nodes(
                {
                    name: other
                    for name, other in self.nodes.items()
                    if other is not node
                }
            )
        return {}

    def _replace_nodes(self, nodes: dict[str, _schema.Node]) -> None:
        self.nodes = nodes
        self._on_changed()

    def _log_changes(self, nodes: dict[str, _schema.Node]) -> None:
        joined = nodes.keys() - self.nodes.keys()
        left = self.nodes.keys() - nodes.keys()
        self._log_decision(
            'nodes_changed',
            nodes=len(nodes),
            joined=len(joined),
            left=len(left),
            joined_names=sorted(joined)[:MAX_LOGGED_NAMES],
            left_names=sorted(left)[:MAX_LOGGED_NAMES],
        )

    async def _remove(self, rows: list[ports.Row]) -> None:
        keys = [ports.Key(_schema.NODES, row.key) for row in rows]
        expected = {
            key: row.version for key, row in zip(keys, rows, strict=True)
        }
        change = ports.Transaction('', expected, removes=keys)
        await self._store.transact(change, WRITE_TIMEOUT_S)
