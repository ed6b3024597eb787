"""The command celeryshift."""

import fire


def main() -> None:
    """Start celeryshift from the command line."""
    fire.Fire({}, name='celeryshift')
