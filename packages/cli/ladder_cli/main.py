"""Entry point of the operators' command line."""

import sys

import defopt

from ladder_cli.explain import explain
from ladder_cli.lists import apply, check, diff, show
from ladder_cli.nodes import drain, status, timeline
from ladder_core.errors import LadderError

_EXIT_FAILURE = 1


def main() -> None:
    """Run the command named by the arguments; exit with 1 on an error."""
    try:
        defopt.run([check, diff, apply, show, status, drain, timeline, explain])
    except LadderError as error:
        sys.stderr.write(f'{error.message}\n{error.remedy}\n')
        sys.exit(_EXIT_FAILURE)
