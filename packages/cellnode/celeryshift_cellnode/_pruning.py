"""Removes the final states of jobs after their retention time."""

import asyncio
from collections.abc import Callable
import time

from celeryshift_cellnode import _groupwriter
from celeryshift_cellnode import _records
from celeryshift_cellnode import _schema
from celeryshift_cellnode import errors
from celeryshift_cellnode import ports

# Interval between runs; each run reads all final states.
PRUNE_INTERVAL_S = 120.0
# States are kept for this multiple of the time promised to clients.
RETENTION_FACTOR = 3.0
# Maximum number of rows that one change removes. A change is written in one
# transaction, so it must not exceed the limit of the store.
MAX_REMOVES = 80
MS_PER_S = 1000


class Pruner:
    """Periodic removal of old final states."""

    def __init__(
        self,
        store: ports.Store,
        writer: _groupwriter.GroupWriter,
        retention_s: float,
        log_decision: Callable[..., None],
    ) -> None:
        self._store = store
        self._writer = writer
        self._retention_ms = RETENTION_FACTOR * retention_s * MS_PER_S
        self._log_decision = log_decision

    async def run(self) -> None:
        """Prune periodically."""
        while True:
            await asyncio.sleep(PRUNE_INTERVAL_S)
            try:
                await self.prune()
            except errors.StoreError as error:
                self._log_decision('not_pruned', error=str(error))

    async def prune(self) -> None:
        """Remove the final states that are past their retention time."""
        rows, _ = await _records.read_all(self._store, _schema.ENDED)
        cutoff_ms = time.time() * MS_PER_S - self._retention_ms
        old = [
            ports.Key(_schema.ENDED, row.key)
            for row in rows
            if _schema.load(_schema.Ended, row.value).at_ms < cutoff_ms
        ]
        for first in range(0, len(old), MAX_REMOVES):
            removes = tuple(old[first : first + MAX_REMOVES])
            await self._writer.write(_groupwriter.Change(removes=removes))
        if old:
            self._log_decision('states_pruned', jobs=len(old))
