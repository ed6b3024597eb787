"""Rows that nodes keep in the store, and messages between nodes."""

from typing import Any

import attrs
import cattrs
from cattrs import gen
import orjson

from celeryshift_cell import model

# The only cell, and the part of the store that contains its rows. They are in
# one part so that one transaction can cover them.
CELL = 'cell-0'

JOBS = 'jobs'
# Progress of jobs that have not finished.
PROGRESS = 'progress'
# Final states of jobs, kept after the other rows of the jobs are removed.
ENDED = 'ended'
# Workers that may have runs, one row each, as (incarnation, address).
WORKERS = 'workers'
CELLS = 'cells'
NODES = 'nodes'

# The owner's heartbeat is not part of the row that names the owner, because
# every write of the owner is conditional on the version of that row. The keys
# of both rows are adjacent, so that one read returns them.
HEARTBEAT_KEY = 'beat'
OWNER_KEY = 'owner'
# Workers that may have runs, as a list of (id, incarnation, address): one row
# of earlier releases, which the first later owner replaces by ``WORKERS``.
FORMER_WORKERS_KEY = 'workers'
# What the owner has learned. No key between those of the heartbeat and the
# owner may be used, since all nodes read that range several times a second.
LEARNED_KEY = 'run-times'
# Follows the job ID in the key of the row that cancels the job.
CANCEL_SUFFIX = '/cancel'
# Precedes the number of a further part of a record in the key of its row.
PART_SEPARATOR = '/'
# Final state of an ID that was cancelled while no job had it. No job of that
# ID is stored any more, because that requires that it has not ended.
WITHDRAWN = 'withdrawn'


@attrs.frozen(slots=True)
class Owner:
    """Owner of a cell."""

    node: str
    address: str
    # Distinguishes processes that use the same name.
    incarnation: str
    # Increases with every owner; workers refuse orders with a lower epoch.
    epoch: int

    def is_process(self, other: 'Node') -> bool:
        """Return whether a process is the owner."""
        return (
            self.node == other.name and self.incarnation == other.incarnation
        )


@attrs.frozen(slots=True)
class Node:
    """Process that may own cells."""

    name: str
    address: str
    incarnation: str
    data_centre: str
    # Resources of the VM; nodes with more resources are preferred as owners.
    cores: float = 1.0
    link_mbps: float = 0.0
    # 0 if unknown, as for a node of an earlier release.
    memory_mb: float = 0.0


@attrs.frozen(slots=True)
class Ended:
    """Final state of a job, and its time in Unix milliseconds."""

    state: str
    at_ms: int


_converter = cattrs.Converter(omit_if_default=True)
for _type in (
    model.Size,
    model.Step,
    model.PolicyService,
    model.Queue,
    model.Job,
):
    _converter.register_unstructure_hook(
        _type,
        gen.make_dict_unstructure_fn(
            _type, _converter, _cattrs_omit_if_default=True
        ),
    )


def dump(value: Any) -> bytes:
    """Encode a row or a message."""
    return orjson.dumps(_converter.unstructure(value))


def load(kind: type, value: bytes) -> Any:
    """Decode a row or a message."""
    return _converter.structure(orjson.loads(value), kind)


def is_withdrawn(ended: bytes) -> bool:
    """Return whether a row of ``ENDED`` only prevents a job.

    A row that cannot be read is that of a job.
    """
    try:
        return load(Ended, ended).state == WITHDRAWN
    except Exception:
        return False


def unstructure(value: Any) -> Any:
    """Return a typed value as plain data, to embed it in a message."""
    return _converter.unstructure(value)


def structure(kind: type, value: Any) -> Any:
    """Return a typed value from plain data."""
    return _converter.structure(value, kind)
