"""In-memory transactional table, like the table service of a platform."""

from typing import Any

import attrs
from sortedcontainers import SortedDict

Row = tuple[int, Any]


@attrs.frozen
class TableResult:
    """Result of a transaction or a read."""

    ok: bool
    version: int
    rows: dict[str, Row]


class Table:
    """Versioned rows that are changed by atomic transactions."""

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
        """Change rows if all checks hold, and return rows.

        A check is the version that a row must have, or 0 for no row. Returns
        the rows below the prefixes after the change, or, if a check fails,
        the existing rows whose versions differ.
        """
        self.writes += 1
        differing = {
            key: self.rows_by_key[key]
            for key, version in checks.items()
            if self._version_of(key) != version and key in self.rows_by_key
        }
        if any(
            self._version_of(key) != expected
            for key, expected in checks.items()
        ):
            return TableResult(False, self.version, differing)
        self.version += 1
        for key in deletes:
            self.rows_by_key.pop(key, None)
        for key, value in puts.items():
            self.rows_by_key[key] = (self.version, value)
        return TableResult(True, self.version, self._read((), prefixes))

    def read(self, keys: list[str], prefixes: list[str]) -> TableResult:
        """Read rows by key and by prefix, as one consistent snapshot."""
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
