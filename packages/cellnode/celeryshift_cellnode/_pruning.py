"""Removes the final states of jobs that nobody asks about any more."""

import asyncio
from collections.abc import Callable
import time

from celeryshift_cellnode import _groupwriter
from celeryshift_cellnode import _records
from celeryshift_cellnode import _schema
from celeryshift_cellnode import errors
from celeryshift_cellnode import ports

# Between two looks; each reads all final states there are.
LOOK_S = 120.0
# States are kept for so many times as long as callers are promised.
KEEP_FACTOR = 3.0
# Rows removed by one change.
MAX_REMOVED = 80
MS_PER_S = 1000


class Pruner:
    """Look for old final states, again and again."""

    def __init__(
        self,
        store: ports.Store,
        journal: _groupwriter.GroupWriter,
        visible_s: float,
        note: Callable[..., None],
    ) -> None:
        self._store = store
        self._writer = journal
        self._keep_ms = KEEP_FACTOR * visible_s * MS_PER_S
        self._note = note

    async def run(self) -> None:
        """Prune from time to time."""
        while True:
            await asyncio.sleep(LOOK_S)
            try:
                await self.prune()
            except errors.StoreError as error:
                self._note('not_pruned', error=str(error))

    async def prune(self) -> None:
        """Remove what is old."""
        rows, _ = await _records.read_all(self._store, _schema.ENDED)
        before_ms = time.time() * MS_PER_S - self._keep_ms
        old = [
            ports.Key(_schema.ENDED, row.key)
            for row in rows
            if _schema.load(_schema.Ended, row.value).at_ms < before_ms
        ]
        for first in range(0, len(old), MAX_REMOVED):
            removes = tuple(old[first : first + MAX_REMOVED])
            await self._writer.write(_groupwriter.Change(removes=removes))
        if old:
            self._note('states_pruned', jobs=len(old))
