"""Command that runs scenarios and prints their results."""

from collections.abc import Iterator
import pathlib
import sys

import attrs
import fire

from celeryshift_standins import scenario as scenarios

TEST = 'tests/test_scenarios.py::test_scenario'


@attrs.frozen
class Row:
    """One row of the printed table: a scenario run with one seed."""

    name: str
    seed: int
    steps: int
    result: str
    details: list[str]


def run(
    *paths: str,
    seed: int = 1,
    steps: int = 0,
    known: str = '',
    show: bool = False,
) -> None:
    """Run each file with successive seeds until it has done enough steps.

    Flag `steps` is the least number of simulation steps (callbacks that the
    simulation runs, not lines) for each file. Flag `known` is the path of the
    list of known failures, which don't fail the command.
    Flag `show` also prints the measured values and the outcomes of the calls.
    """
    known_red = pathlib.Path(known).read_text() if known else ''
    failed = False
    for path in paths:
        for row in _rows(pathlib.Path(path), seed, steps, known_red, show):
            failed = failed or row.result == 'FAILED'
            sys.stdout.write(
                f'{row.name:34} {row.seed:6} {row.steps:8} {row.result}\n'
            )
            for line in row.details:
                sys.stdout.write(f'    {line}\n')
            sys.stdout.flush()
    sys.exit(1 if failed else 0)


def _rows(
    path: pathlib.Path, seed: int, steps: int, known_red: str, show: bool
) -> Iterator[Row]:
    scenario = scenarios.read(path)
    steps_done = 0
    while steps_done == 0 or steps_done < steps:
        result = scenario.run(seed)
        steps_done += result.steps
        status = 'passed'
        if result.failures:
            is_known = f'{TEST}[{path.stem}]' in known_red
            status = 'known red' if is_known else 'FAILED'
        details = list(result.failures)
        if show:
            details += [*result.measurements, *result.outcomes]
        yield Row(path.stem, seed, result.steps, status, details)
        seed += 1


if __name__ == '__main__':
    fire.Fire(run)
