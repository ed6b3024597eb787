"""Names and hashes that all nodes compute alike."""

import xxhash


def slice_of(worker: str, slices: int) -> int:
    """Return the number of the slice that a worker belongs to."""
    return xxhash.xxh64_intdigest(worker.encode()) % slices


def rank(node: str, number: int) -> int:
    """Return the rank of a node for a slice; the highest is preferred.

    Source: Thaler and Ravishankar, rendezvous hashing, 1998.
    """
    return xxhash.xxh64_intdigest(f'{node}#{number}'.encode())


def scoped(team: str, name: str) -> str:
    """Return a caller's name for a job or request, prefixed by its team."""
    return f'{team}:{name}'


def task_of_job(job: str, index: int) -> str:
    """Return the name of a task of a job."""
    return f'j:{job}.{index}'


def task_of_request(team: str, name: str) -> str:
    """Return the name of the task that runs a request."""
    return f'r:{scoped(team, name)}'
