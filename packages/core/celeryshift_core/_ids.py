"""Names that several nodes must work out alike."""

import xxhash


def slice_of(worker: str, slices: int) -> int:
    """Number the slice that a worker of a data centre belongs to."""
    return xxhash.xxh64_intdigest(worker.encode()) % slices


def rank(node: str, number: int) -> int:
    """Rank a node for a slice; the highest is preferred.

    Source: Thaler and Ravishankar, rendezvous hashing, 1998.
    """
    return xxhash.xxh64_intdigest(f'{node}#{number}'.encode())


def scoped(team: str, name: str) -> str:
    """Scope a caller's name for a job or request by its team."""
    return f'{team}:{name}'


def task_of_job(job: str, index: int) -> str:
    """Name a task of a job."""
    return f'j:{job}.{index}'


def task_of_request(team: str, name: str) -> str:
    """Name the task that runs a request."""
    return f'r:{scoped(team, name)}'
