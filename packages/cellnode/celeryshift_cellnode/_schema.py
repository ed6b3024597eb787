"""Rows that nodes keep in the store, and messages between nodes."""

from typing import Any

import attrs
import cattrs
from cattrs import gen
import orjson

from celeryshift_cell import model

# All rows of a cell stand in one part, so that one transaction covers them.
CELL = 'cell-0'

JOBS = 'jobs'
# Progress of jobs that have not ended.
PROGRESS = 'progress'
# The final states of jobs, kept after their rows are gone.
ENDED = 'ended'
CELLS = 'cells'
NODES = 'nodes'

# Renewals of the owner, apart from the row that says who it is, since every
# write of the owner is made under the version of the latter. The two are
# neighbours, so that one read gives both.
BEAT_KEY = 'beat'
OWNER_KEY = 'owner'
WORKERS_KEY = 'workers'
# Follows the id of a job in the key of the row that cancels it.
CANCEL_SUFFIX = '/cancel'


@attrs.frozen(slots=True)
class Owner:
    """Say who owns a cell."""

    node: str
    address: str
    # Tells processes under one name apart.
    incarnation: str
    # Rises with every owner; workers refuse orders under a lower one.
    epoch: int

    def is_process(self, other: 'Node') -> bool:
        """Tell whether a process is the owner."""
        return (
            self.node == other.name and self.incarnation == other.incarnation
        )


@attrs.frozen(slots=True)
class Node:
    """Describe a process that may own cells."""

    name: str
    address: str
    incarnation: str
    data_centre: str
    # What the VM has; the strong ones own cells.
    cores: float = 1.0
    link_mbps: float = 0.0


@attrs.frozen(slots=True)
class Ended:
    """Say how a job ended, and when in Unix milliseconds."""

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


def dump_parts(value: Any) -> Any:
    """Give the plain parts of a typed value, for a larger message."""
    return _converter.unstructure(value)


def load_parts(kind: type, value: Any) -> Any:
    """Build a typed value from plain parts."""
    return _converter.structure(value, kind)
