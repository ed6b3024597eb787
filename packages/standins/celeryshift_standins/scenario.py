"""A small line-based test language: scripted faults against the real core.

Each line is one step. Time passes in `wait` and `settle` alone; loads go on
in the background meanwhile. `docs/SCENARIOS.md` lists the verbs.
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

VERBS: dict[str, Callable[[_words.Words], _play.Act]] = {
    **_set_up.VERBS,
    **_work.VERBS,
    **_faults.VERBS,
    'expect': _expectations.parse,
}


@attrs.frozen
class Step:
    """Hold one line that was read."""

    line: int
    text: str
    act: _play.Act


@attrs.frozen
class Result:
    """Hold what came of a run."""

    seed: int
    steps: int
    trace: int
    wrong: list[str]
    measured: list[str]
    outcomes: list[str]


class Scenario:
    """Hold a scenario that was read without a mistake.

    `use name` stands for the lines of `parts/name.scn` beside it.
    """

    def __init__(self, path: pathlib.Path, text: str) -> None:
        self.path = path.name
        self.steps = list(_read_all(path, text))

    def run(self, seed: int) -> Result:
        """Run it; the same seed gives the same steps."""
        play = _play.Play(seed)
        for step in self.steps:
            play.where = f'{self.path}:{step.line}'
            step.act(play)
        play.finish()
        return Result(
            seed,
            play.world.steps,
            play.trace(),
            [*play.monitor.violations, *play.missed],
            play.measured,
            play.outcomes(),
        )


def read(path: pathlib.Path) -> Scenario:
    """Read a scenario.

    Raises ScenarioError, which names file, line and what was expected.
    """
    return Scenario(path, path.read_text())


def _read_all(path: pathlib.Path, text: str) -> Iterator[Step]:
    for number, line in enumerate(text.splitlines(), 1):
        said = line.partition('#')[0].strip()
        words = _words.Words(path.name, number, said)
        if words.skip('use'):
            part = path.parent / 'parts' / f'{words.peek()}.scn'
            if not part.exists():
                raise words.fail('the name of a part')
            yield from _read_all(part, part.read_text())
        elif said:
            yield _read(words, number, said)


def _read(words: _words.Words, number: int, text: str) -> Step:
    if words.peek() not in VERBS:
        raise words.fail(f'a verb: {", ".join(sorted(VERBS))}')
    act = VERBS[words.word('a verb')](words)
    words.end()
    return Step(number, text, act)
