"""Keys and values of the rows that celeryshift keeps in the store."""

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
LIMITS = 'limit/'
ALLOTMENTS = 'allotment/'


@attrs.frozen(slots=True)
class Row:
    """Hold a value read from the store and the version it was written at."""

    version: int
    value: dict


def node(data_centre: str, node_id: str) -> str:
    """Name the registration of a node."""
    return f'{NODES}{data_centre}/{node_id}'


def slice_(data_centre: str, number: int) -> str:
    """Name the row that says who owns a slice."""
    return f'{SLICES}{data_centre}/{number:04d}'


def jobs(data_centre: str, number: int) -> str:
    """Give the prefix of the jobs of a slice."""
    return f'{JOBS}{data_centre}/{number:04d}/'


def job(data_centre: str, number: int, job_id: str) -> str:
    """Name the row of a job."""
    return f'{jobs(data_centre, number)}{job_id}'


def arrivals(data_centre: str, number: int) -> str:
    """Give the prefix of the arrivals of jobs moved to a slice."""
    return f'{ARRIVALS}{data_centre}/{number:04d}/'


def arrival(data_centre: str, number: int, job_id: str) -> str:
    """Name the row that says that a job was moved to a slice."""
    return f'{arrivals(data_centre, number)}{job_id}'


def job_place(job_id: str) -> str:
    """Name the row that says which slice holds a job."""
    return f'{JOB_PLACES}{job_id}'


def request_claim(request_id: str) -> str:
    """Name the claim of a request that must not be repeated."""
    return f'{REQUEST_CLAIMS}{request_id}'


def limit(team: str) -> str:
    """Name the row that says how many slots of a team are allotted."""
    return f'{LIMITS}{team}'


def allotment(data_centre: str, number: int) -> str:
    """Name the allotment of a slice."""
    return f'{ALLOTMENTS}{data_centre}/{number:04d}'


def audit(version: int) -> str:
    """Name the audit record of a change of configuration."""
    return f'{AUDIT}{version:010d}'


def marker(op_id: str) -> str:
    """Name the marker that tells whether a write took effect."""
    return f'{MARKERS}{op_id}'
