"""A line-based language for tests that inject faults into real nodes.

Each line is one statement. Virtual time advances only in `wait`, `settle` and
`configure`; during these, loads that were started earlier keep sending.
`docs/SCENARIOS.md` lists the verbs.
"""

from collections.abc import Callable
from collections.abc import Iterator
import pathlib

import attrs

from celeryshift_standins import _expectations
from celeryshift_standins import _faults
from celeryshift_standins import _play
from celeryshift_standins import _set_up
from celeryshift_standins import _words
from celeryshift_standins import _work

ScenarioError = _words.ScenarioError

VERBS: dict[str, Callable[[_words.Words], _play.Action]] = {
    **_set_up.VERBS,
    **_work.VERBS,
    **_faults.VERBS,
    'expect': _expectations.parse,
}


@attrs.frozen
class Statement:
    """One parsed line of a scenario."""

    line: int
    text: str
    action: _play.Action


@attrs.frozen
class Result:
    """Result of one run of a scenario with one seed.

    `steps` counts the callbacks that the simulation ran. `failures` has
    violated invariants and expectations that were not met.
    """

    seed: int
    steps: int
    trace_hash: int
    failures: list[str]
    measurements: list[str]
    outcomes: list[str]


class Scenario:
    """A parsed scenario.

    `use name` includes the lines of `parts/name.scn`, a path relative to the
    folder of the scenario.
    """

    def __init__(self, path: pathlib.Path, text: str) -> None:
        self.path = path.name
        self.statements = list(_parse_all(path, text))

    def run(self, seed: int) -> Result:
        """Run the scenario; the same seed gives the same simulation."""
        play = _play.Play(seed)
        for statement in self.statements:
            play.location = f'{self.path}:{statement.line}'
            statement.action(play)
        play.finish()
        return Result(
            seed,
            play.world.steps,
            play.trace_hash(),
            [*play.monitor.violations, *play.failed_expectations],
            play.measurements,
            play.outcomes(),
        )


def read(path: pathlib.Path) -> Scenario:
    """Read and parse a scenario file.

    Raises ScenarioError, which has the file, the line and what was expected.
    """
    return Scenario(path, path.read_text())


def _parse_all(path: pathlib.Path, text: str) -> Iterator[Statement]:
    for number, line in enumerate(text.splitlines(), 1):
        stripped = line.partition('#')[0].strip()
        words = _words.Words(path.name, number, stripped)
        if words.accept('use'):
            part = path.parent / 'parts' / f'{words.peek()}.scn'
            if not part.exists():
                raise words.error('the name of a part')
            yield from _parse_all(part, part.read_text())
        elif stripped:
            yield _parse_line(words, number, stripped)


def _parse_line(words: _words.Words, number: int, text: str) -> Statement:
    if words.peek() not in VERBS:
        raise words.error(f'a verb: {", ".join(sorted(VERBS))}')
    action = VERBS[words.word('a verb')](words)
    words.expect_end()
    return Statement(number, text, action)
