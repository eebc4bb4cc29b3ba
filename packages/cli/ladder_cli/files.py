"""Writing of the plans file and the allowances file."""

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
    Write the lists as files that the command `apply` accepts.

    Parameters
    ----------
    lists : Lists
        Plans and allowances to write.
    plans, allowances : Path or None
        Locations of the two files; None for standard output.

    """
    _write(plans, 'plans', lists.revision, lists.plans)
    _write(allowances, 'allowances', lists.revision, lists.allowances)


def update_revision(path: Path, revision: int) -> None:
    """
    Update the revision in a file; a file without one is not changed.

    Parameters
    ----------
    path : Path
        Location of the plans file or of the allowances file.
    revision : int
        Revision to write, which the file corresponds to.

    """
    text = path.read_text()
    updated = _REVISION_LINE.sub(f'revision: {revision}', text, count=1)
    if updated != text:
        path.write_text(updated)


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
    # The YAML writer rejects members of enumerations, but accepts their text.
    return str(field) if isinstance(field, str) else field
