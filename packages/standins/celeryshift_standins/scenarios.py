"""Run scenarios and print what came of each: `make scenarios`."""

from collections.abc import Iterator
import pathlib
import sys

import attrs
import fire

from celeryshift_standins import scenario as scenarios

TEST = 'tests/test_scenarios.py::test_scenario'


@attrs.frozen
class Row:
    """Hold one line of the table."""

    name: str
    seed: int
    steps: int
    result: str
    lines: list[str]


def run(
    *paths: str,
    seed: int = 1,
    steps: int = 0,
    known: str = '',
    show: bool = False,
) -> None:
    """Run each file, with further seeds until a number of steps is made.

    What was measured, and what came of each kind of call, is shown if asked.
    """
    listed = pathlib.Path(known).read_text() if known else ''
    failed = False
    for path in paths:
        for row in _rows(pathlib.Path(path), seed, steps, listed, show):
            failed = failed or row.result == 'FAILED'
            sys.stdout.write(
                f'{row.name:34} {row.seed:6} {row.steps:8} {row.result}\n'
            )
            for line in row.lines:
                sys.stdout.write(f'    {line}\n')
            sys.stdout.flush()
    sys.exit(1 if failed else 0)


def _rows(
    path: pathlib.Path, seed: int, steps: int, listed: str, show: bool
) -> Iterator[Row]:
    scenario = scenarios.read(path)
    made = 0
    while made == 0 or made < steps:
        result = scenario.run(seed)
        made += result.steps
        said = 'passed'
        if result.wrong:
            is_known = f'{TEST}[{path.stem}]' in listed
            said = 'known red' if is_known else 'FAILED'
        lines = list(result.wrong)
        if show:
            lines += [*result.measured, *result.outcomes]
        yield Row(path.stem, seed, result.steps, said, lines)
        seed += 1


if __name__ == '__main__':
    fire.Fire(run)
