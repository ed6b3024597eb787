"""Memory that the nodes leave for the state of the cell."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from celeryshift_cell import admission
from celeryshift_cell import model
from celeryshift_cellnode import _schema

MB = 2**20
# Memory of a process without jobs: program, workers and connections.
PROCESS_BYTES = 64 * MB
# It is taken to leave at least this much, however little a node has.
MIN_FREE_BYTES = 16 * MB


def cell_bytes(nodes: Iterable[_schema.Node]) -> int:
    """Return the memory for the state of the cell; 0 for no limit.

    It is that of the smallest node, since each of them may own the cell next.
    """
    sizes_mb = [node.memory_mb for node in nodes if node.memory_mb > 0]
    return free_bytes(min(sizes_mb)) if sizes_mb else 0


def free_bytes(memory_mb: float) -> int:
    """Return the memory of a node that its process does not need itself."""
    return max(MIN_FREE_BYTES, int(memory_mb * MB) - PROCESS_BYTES)


class Allowance:
    """Memory of the jobs that this node may store without the owner.

    The owner, which limits the memory of all jobs, leaves a reserve for them.
    Each node may use an equal part of it between two answers of the owner.
    """

    def __init__(
        self, nodes_by_name: Callable[[], Mapping[str, _schema.Node]] = dict
    ) -> None:
        self._nodes_by_name = nodes_by_name
        self._used = 0

    def take(self, job: model.Job) -> bool:
        """Use the memory of a job, and return whether there was enough."""
        nodes = self._nodes_by_name()
        limit = cell_bytes(nodes.values())
        if not limit:
            return True
        used = self._used + admission.job_bytes(job)
        if used > admission.reserve_bytes(limit) / max(1, len(nodes)):
            return False
        self._used = used
        return True

    def handle_accepted(self) -> None:
        """Note that the owner accepts jobs, so that the reserve is free."""
        self._used = 0
