"""The words of a line of a scenario, taken one after another."""

import re

import celeryshift_core as core

UNIT_S = {'ms': 0.001, 's': 1.0, 'min': 60.0, 'h': 3600.0}

_TIME = re.compile(r'(\d+(?:\.\d+)?)(ms|s|min|h)')


class ScenarioError(core.CeleryshiftError):
    """Report where a scenario is wrong, and what was expected there."""

    def __init__(self, path: str, line: int, expected: str, found: str):
        self.path = path
        self.line = line
        self.expected = expected
        super().__init__(
            f'{path}:{line}: expected {expected}, found {found!r}'
        )


class Words:
    """Take the words of one line, and say what was expected of a wrong one."""

    def __init__(self, path: str, line: int, text: str) -> None:
        self._path = path
        self._line = line
        self._words = text.split()
        self._next = 0

    def fail(self, expected: str) -> ScenarioError:
        """Make the error for the word that comes next."""
        found = self.peek() or 'the end of the line'
        return ScenarioError(self._path, self._line, expected, found)

    def peek(self) -> str | None:
        """Give the next word and leave it."""
        if self._next < len(self._words):
            return self._words[self._next]
        return None

    def word(self, expected: str) -> str:
        """Take a word."""
        word = self.peek()
        if word is None:
            raise self.fail(expected)
        self._next += 1
        return word

    def one_of(self, *choices: str) -> str:
        """Take one of some words."""
        if self.peek() not in choices:
            raise self.fail(f'one of {", ".join(choices)}')
        return self.word('')

    def skip(self, word: str) -> bool:
        """Take a word if it is the next one."""
        if self.peek() != word:
            return False
        self._next += 1
        return True

    def number(self, expected: str = 'a number') -> float:
        """Take a number."""
        try:
            value = float(self.peek() or '')
        except ValueError:
            raise self.fail(expected) from None
        self._next += 1
        return value

    def count(self, expected: str = 'a whole number') -> int:
        """Take a whole number."""
        if not (self.peek() or '').isdigit():
            raise self.fail(expected)
        return int(self.word(''))

    def time_s(self) -> float:
        """Take a time with its unit, in seconds."""
        match = _TIME.fullmatch(self.peek() or '')
        if match is None:
            raise self.fail('a time such as 20ms, 5s or 2min')
        self._next += 1
        return float(match[1]) * UNIT_S[match[2]]

    def end(self) -> None:
        """Make sure that nothing is left."""
        if self.peek() is not None:
            raise self.fail('the end of the line')
