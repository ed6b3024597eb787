"""In-memory row store with fault injection, for tests of nodes."""

import asyncio
import enum

from celeryshift_cellnode import errors
from celeryshift_cellnode import ports

POLL_S = 0.005
# Rows and bytes of one page of a read.
PAGE_ROWS = 500
PAGE_BYTES = 750_000
# Size of a call: the values are encoded in base64, and names are added.
CALL_BYTES = 1_000_000
BASE64_FACTOR = 4 / 3


class Fault(enum.Enum):
    """Fault of one transaction."""

    # Nothing is written, and the caller gets an error that says so.
    REFUSE = 'refuse'
    # Nothing is written, and the caller gets no answer.
    IGNORE = 'ignore'
    # The transaction is applied, but the caller gets no answer.
    LOSE_ANSWER = 'lose answer'
    # The caller gets no answer, and the transaction is applied after
    # `late_write_delay_s`, when the caller has given up.
    APPLY_LATE = 'do late'


class RowStore:
    """Versioned rows that are changed by atomic transactions.

    It rejects transactions beyond the limits of the platform's store.
    """

    # Its answers arrive in one piece.
    progressed_at = 0.0

    def __init__(self) -> None:
        self.limits = ports.StoreLimits()
        # Reasons of rejected transactions.
        self.rejections: list[str] = []
        self.rows: dict[tuple[str, str, str], ports.Row] = {}
        self.version = 0
        self.faults: list[Fault] = []
        self.latency_s = 0.0
        self.late_write_delay_s = 0.3
        self.writes = 0
        self._changes: list[ports.Row] = []
        self._tasks: set[asyncio.Task] = set()

    def put(self, table: str, part: str, key: str, value: bytes) -> None:
        """Write a row as another client would."""
        self._apply(
            ports.Transaction(part, {}, {ports.Key(table, key): value})
        )

    def remove(self, table: str, part: str, key: str) -> None:
        """Remove a row as another client would."""
        self._apply(ports.Transaction(part, removes=[ports.Key(table, key)]))

    async def transact(
        self, transaction: ports.Transaction, timeout_s: float
    ) -> ports.Committed | ports.Conflict:
        """Apply a transaction, or inject the next fault of the list.

        A latency above the timeout has the effect of APPLY_LATE.
        """
        self.writes += 1
        reason = self._rejection_reason(transaction)
        if reason is not None:
            self.rejections.append(reason)
            raise errors.StoreRejectedError(reason)
        fault = self.faults.pop(0) if self.faults else None
        if self.latency_s > timeout_s:
            fault = Fault.APPLY_LATE
        await asyncio.sleep(min(self.latency_s, timeout_s))
        if fault is Fault.REFUSE:
            raise errors.StoreRefusedError('refused')
        if fault is Fault.APPLY_LATE:
            task = asyncio.get_running_loop().create_task(
                self._apply_later(transaction)
            )
            self._tasks.add(task)
        if fault is Fault.LOSE_ANSWER:
            self._apply(transaction)
        if fault is not None:
            await asyncio.sleep(timeout_s)
            raise errors.StoreOutcomeUnknownError('no answer')
        return self._apply(transaction)

    def _rejection_reason(self, transaction: ports.Transaction) -> str | None:
        limits = self.limits
        keys = [
            *transaction.expected,
            *transaction.puts,
            *transaction.removes,
        ]
        names = [transaction.part]
        names += [name for key in keys for name in (key.table, key.key)]
        size = sum(len(name) for name in names) + sum(
            len(value) * BASE64_FACTOR for value in transaction.puts.values()
        )
        if len(keys) > limits.entries:
            return f'{len(keys)} entries'
        if size > CALL_BYTES:
            return 'the call is too long'
        if any(len(name.encode()) > limits.name_bytes for name in names):
            return 'a name is too long'
        if not all(key.table and key.key for key in keys):
            return 'a name is missing'
        if any(len(v) > limits.row_bytes for v in transaction.puts.values()):
            return 'a value is too long'
        return None

    async def _apply_later(self, transaction: ports.Transaction) -> None:
        await asyncio.sleep(self.late_write_delay_s)
        self._apply(transaction)

    def _apply(
        self, transaction: ports.Transaction
    ) -> ports.Committed | ports.Conflict:
        part = transaction.part
        current = {
            key: self.rows.get((key.table, part, key.key))
            for key in transaction.expected
        }
        for key, version in transaction.expected.items():
            row = current[key]
            if (row.version if row else 0) != version:
                rows = {k: r for k, r in current.items() if r is not None}
                return ports.Conflict(rows)
        self.version += 1
        for key in transaction.removes:
            row = self.rows.pop((key.table, part, key.key), None)
            if row is not None:
                self._changes.append(
                    ports.Row(
                        key.table, part, key.key, b'', self.version, True
                    )
                )
        for key, value in transaction.puts.items():
            row = ports.Row(key.table, part, key.key, value, self.version)
            self.rows[key.table, part, key.key] = row
            self._changes.append(row)
        return ports.Committed(self.version)

    async def read(
        self,
        table: str,
        part: str,
        first: str = '',
        last: str | None = None,
        timeout_s: float = 1.0,
    ) -> ports.ReadResult:
        """Read the first page of a range of rows."""
        await asyncio.sleep(self.latency_s)
        rows = [
            row
            for (row_table, row_part, key), row in sorted(self.rows.items())
            if row_table == table
            and row_part == part
            and key >= first
            and (last is None or key < last)
        ]
        page: list[ports.Row] = []
        size = 0
        for row in rows:
            size += len(row.value)
            if len(page) == PAGE_ROWS or (page and size > PAGE_BYTES):
                return ports.ReadResult(page, self.version, True)
            page.append(row)
        return ports.ReadResult(page, self.version)

    async def read_changes(
        self, table: str, after: int, wait_ms: int
    ) -> ports.ReadResult:
        """Wait for rows that changed after a version, and return them."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_ms / 1000
        while True:
            rows = [
                row
                for row in self._changes
                if row.table == table and row.version > after
            ]
            if rows or loop.time() >= deadline:
                return ports.ReadResult(rows, self.version)
            await asyncio.sleep(POLL_S)
