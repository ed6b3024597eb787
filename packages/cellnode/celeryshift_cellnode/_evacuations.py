"""Evacuated data centres, as the operator's rows in the store name them."""

from collections.abc import Sequence

from celeryshift_cellnode import _records
from celeryshift_cellnode import ports


class Evacuations:
    """Evacuated data centres as of the newest answer of the store.

    Two readers use it: the follower of the operator's table, and a new owner
    that reads the rows before its first order. An answer that is older than
    one before it changes nothing, so that a late one of the follower does not
    undo what the owner has read. A whole read that was sent after the newest
    answer had arrived counts in any case, since a store that has lost its
    history may number its versions anew.
    """

    def __init__(self, tables: ports.Tables, decoder: ports.Decoder) -> None:
        self._tables = tables
        self._decoder = decoder
        self._version = 0
        self._keys: set[str] = set()
        # Number of the answers that were applied.
        self.revision = 0
        # '' stands for all malformed keys.
        self.data_centres: frozenset[str] = frozenset()

    def apply(
        self,
        rows: Sequence[ports.Row],
        version: int,
        is_complete: bool,
        revision: int,
    ) -> None:
        """Apply changed rows, or all rows, as of a version of the store.

        ``revision`` is the one when the call was sent.
        """
        is_newest = is_complete and revision == self.revision
        if version < self._version and not is_newest:
            return
        self._version = version
        self.revision += 1
        if is_complete:
            self._keys.clear()
        for row in rows:
            if self._decoder.evacuated_data_centre(row.key) is None:
                continue
            if row.is_removed:
                self._keys.discard(row.key)
            else:
                self._keys.add(row.key)
        names = map(self._decoder.evacuated_data_centre, self._keys)
        self.data_centres = frozenset(n for n in names if n is not None)

    @property
    def keys(self) -> frozenset[str]:
        """Return the keys of all evacuations."""
        return frozenset(self._keys)

    def replace(self, keys: Sequence[str], version: int) -> None:
        """Apply the keys that another node has read, as of a version."""
        rows = [
            ports.Row(self._tables.operator, '', key, b'', version)
            for key in keys
        ]
        self.apply(rows, version, True, self.revision)

    async def read(self, store: ports.Store) -> None:
        """Read the rows of all evacuations."""
        revision = self.revision
        first = self._tables.evacuation_prefix
        # The first key after all those with the prefix.
        last = first[:-1] + chr(ord(first[-1]) + 1)
        rows, version = await _records.read_all(
            store, self._tables.operator, '', first, last
        )
        self.apply(rows, version, True, revision)
