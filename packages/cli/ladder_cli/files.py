"""Write the operators' two files."""

import dataclasses
import re
import sys
from collections.abc import Sequence
from pathlib import Path

import yaml

from ladder_core.values import Allowance, Lists, Plan

_REVISION_LINE = re.compile('^revision:.*$', re.MULTILINE)


def write_lists(
    lists: Lists,
    plans: Path | None,
    allowances: Path | None,
) -> None:
    """
    Write lists as files that `apply` takes.

    Parameters
    ----------
    lists : Lists
        What to write.
    plans, allowances : Path or None
        The two files; standard output where None.

    """
    _write(plans, 'plans', lists.revision, lists.plans)
    _write(allowances, 'allowances', lists.revision, lists.allowances)


def update_revision(path: Path, revision: int) -> None:
    """
    Renew the revision that a file names; a file that names none is kept.

    Parameters
    ----------
    path : Path
        One of the two files.
    revision : int
        The revision that it is now.

    """
    text = path.read_text()
    marked = _REVISION_LINE.sub(f'revision: {revision}', text, count=1)
    if marked != text:
        path.write_text(marked)


def _write(
    path: Path | None,
    name: str,
    revision: int,
    entries: Sequence[Plan | Allowance],
) -> None:
    document = {
        'revision': revision,
        name: [_make_entry(entry) for entry in entries],
    }
    text = yaml.safe_dump(document, sort_keys=False)
    if path is None:
        sys.stdout.write(text)
    else:
        path.write_text(text)


def _make_entry(entry: Plan | Allowance) -> dict[str, object]:
    return {
        name: _make_yaml_value(field)
        for name, field in dataclasses.asdict(entry).items()
        if field != ''
    }


def _make_yaml_value(field: object) -> object:
    if isinstance(field, tuple):
        return list(field)
    # An enumeration's own type is unknown to YAML.
    return str(field) if isinstance(field, str) else field
