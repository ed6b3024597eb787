"""Record of a run that was active when its worker was lost."""

import attrs


@attrs.define(slots=True, eq=False)
class Loss:
    """Run that was active when its worker was lost."""

    # Number of the run, and address of the worker.
    run: int
    address: str
    at: float
    # How long the worker certainly lived with the run.
    survived_s: float
    # The worker had confirmed the start of the run.
    is_confirmed: bool = False
    # The worker had been heard of, or ordered, shortly before.
    is_prompt: bool = False
    # The run had only just begun.
    is_suspect: bool = False
    # The run was on trial.
    is_trial: bool = False
    # The worker has crashed, rather than being silent only.
    is_certain: bool = False
