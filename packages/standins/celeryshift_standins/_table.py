"""A transactional table in memory, as the platform's table service."""

from typing import Any

import attrs
from sortedcontainers import SortedDict

Row = tuple[int, Any]


@attrs.frozen
class TableResult:
    """Hold the answer to a transaction or a read."""

    ok: bool
    version: int
    rows: dict[str, Row]


class Table:
    """Keep rows with versions, changed by whole transactions."""

    def __init__(self) -> None:
        self.rows_by_key: SortedDict = SortedDict()
        self.version = 0
        self.writes = 0
        self.reads = 0

    def transact(
        self,
        checks: dict[str, int],
        puts: dict[str, Any],
        deletes: list[str],
        prefixes: list[str],
    ) -> TableResult:
        """Change rows if every check holds; else give the rows that differ.

        A check gives the version that a row must have, or 0 for no row.
        """
        self.writes += 1
        differing = {
            key: self.rows_by_key[key]
            for key, version in checks.items()
            if self._version_of(key) != version and key in self.rows_by_key
        }
        if any(self._version_of(key) != at for key, at in checks.items()):
            return TableResult(False, self.version, differing)
        self.version += 1
        for key in deletes:
            self.rows_by_key.pop(key, None)
        for key, value in puts.items():
            self.rows_by_key[key] = (self.version, value)
        return TableResult(True, self.version, self._read((), prefixes))

    def read(self, keys: list[str], prefixes: list[str]) -> TableResult:
        """Read rows by key and by prefix, as of one moment."""
        self.reads += 1
        return TableResult(True, self.version, self._read(keys, prefixes))

    def _read(self, keys: Any, prefixes: Any) -> dict[str, Row]:
        rows = {
            key: self.rows_by_key[key]
            for key in keys
            if key in self.rows_by_key
        }
        for prefix in prefixes:
            for key in self.rows_by_key.irange(minimum=prefix):
                if not key.startswith(prefix):
                    break
                rows[key] = self.rows_by_key[key]
        return rows

    def _version_of(self, key: str) -> int:
        row = self.rows_by_key.get(key)
        return row[0] if row else 0
