"""Parser for the words of one line of a scenario."""

import re

import celeryshift_core as core

UNIT_S = {'ms': 0.001, 's': 1.0, 'min': 60.0, 'h': 3600.0}

_TIME = re.compile(r'(\d+(?:\.\d+)?)(ms|s|min|h)')


class ScenarioError(core.CeleryshiftError):
    """Syntax error in a scenario, with its line and what was expected."""

    def __init__(self, path: str, line: int, expected: str, found: str):
        self.path = path
        self.line = line
        self.expected = expected
        super().__init__(
            f'{path}:{line}: expected {expected}, found {found!r}'
        )


class Words:
    """Reader of the words of one line; raises ScenarioError on a mismatch."""

    def __init__(self, path: str, line: int, text: str) -> None:
        self._path = path
        self._line = line
        self._words = text.split()
        self._next = 0

    def error(self, expected: str) -> ScenarioError:
        """Return the error for the next word; the caller raises it."""
        found = self.peek() or 'the end of the line'
        return ScenarioError(self._path, self._line, expected, found)

    def peek(self) -> str | None:
        """Return the next word without consuming it; None at the end."""
        if self._next < len(self._words):
            return self._words[self._next]
        return None

    def word(self, expected: str) -> str:
        """Consume and return the next word; errors name `expected`."""
        word = self.peek()
        if word is None:
            raise self.error(expected)
        self._next += 1
        return word

    def one_of(self, *choices: str) -> str:
        """Consume and return the next word, one of the given choices."""
        if self.peek() not in choices:
            raise self.error(f'one of {", ".join(choices)}')
        # The word exists, so no error is raised and its text is not needed.
        return self.word('')

    def accept(self, word: str) -> bool:
        """Consume the next word and return True if it is the given one."""
        if self.peek() != word:
            return False
        self._next += 1
        return True

    def number(self, expected: str = 'a number') -> float:
        """Consume and return a number."""
        try:
            value = float(self.peek() or '')
        except ValueError:
            raise self.error(expected) from None
        self._next += 1
        return value

    def count(self, expected: str = 'a whole number') -> int:
        """Consume and return a whole number, without a sign."""
        if not (self.peek() or '').isdigit():
            raise self.error(expected)
        return int(self.word(''))

    def time_s(self) -> float:
        """Consume a time with its unit; return it in seconds."""
        match = _TIME.fullmatch(self.peek() or '')
        if match is None:
            raise self.error('a time such as 20ms, 5s or 2min')
        self._next += 1
        return float(match[1]) * UNIT_S[match[2]]

    def expect_end(self) -> None:
        """Raise ScenarioError if any words are left."""
        if self.peek() is not None:
            raise self.error('the end of the line')
