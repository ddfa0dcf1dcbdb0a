"""Entry point of the command line."""

from __future__ import annotations

import argparse
from collections.abc import Sequence

from sardinetrack import __version__


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command.

    :param arguments: the words after the program's name.
    :return: the exit code.
    """
    parser = argparse.ArgumentParser(prog='sardinetrack')
    parser.add_argument('--version', action='version', version=__version__)
    parser.parse_args(arguments)
    return 0
