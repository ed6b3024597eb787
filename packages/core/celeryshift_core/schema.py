"""Keys of the rows that celeryshift keeps in the store."""

import attrs

CONFIG = 'config/current'
CONFIG_HEAD = 'config/head'
AUDIT = 'audit/'
NODES = 'node/'
SLICES = 'slice/'
JOBS = 'job/'
JOB_PLACES = 'job-place/'
ARRIVALS = 'arrival/'
MARKERS = 'op/'
REQUEST_CLAIMS = 'once/'
POOLS = 'limit/'
ALLOTMENTS = 'allotment/'


@attrs.frozen(slots=True)
class Row:
    """Value read from the store, and the version of its last write."""

    version: int
    value: dict


def node(data_centre: str, node_id: str) -> str:
    """Return the key of the registration of a node."""
    return f'{NODES}{data_centre}/{node_id}'


def slice_(data_centre: str, number: int) -> str:
    """Return the key of the row that records the owner of a slice."""
    return f'{SLICES}{data_centre}/{number:04d}'


def jobs(data_centre: str, number: int) -> str:
    """Return the prefix of the jobs of a slice."""
    return f'{JOBS}{data_centre}/{number:04d}/'


def job(data_centre: str, number: int, job_id: str) -> str:
    """Return the key of a job."""
    return f'{jobs(data_centre, number)}{job_id}'


def arrivals(data_centre: str, number: int) -> str:
    """Return the prefix of the arrivals of jobs moved to a slice."""
    return f'{ARRIVALS}{data_centre}/{number:04d}/'


def arrival(data_centre: str, number: int, job_id: str) -> str:
    """Return the key that records that a job was moved to a slice."""
    return f'{arrivals(data_centre, number)}{job_id}'


def job_place(job_id: str) -> str:
    """Return the key of the row that records which slice has a job."""
    return f'{JOB_PLACES}{job_id}'


def request_claim(request_id: str) -> str:
    """Return the key of the at-most-once claim of a request."""
    return f'{REQUEST_CLAIMS}{request_id}'


def pool(team: str) -> str:
    """Return the key of the row that counts the allotted slots of a team."""
    return f'{POOLS}{team}'


def allotment(data_centre: str, number: int) -> str:
    """Return the key of the allotment of a slice."""
    return f'{ALLOTMENTS}{data_centre}/{number:04d}'


def audit(version: int) -> str:
    """Return the key of the audit record of a configuration change."""
    return f'{AUDIT}{version:010d}'


def marker(op_id: str) -> str:
    """Return the key of the marker that records whether a write committed."""
    return f'{MARKERS}{op_id}'
