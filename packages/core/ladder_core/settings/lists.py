"""Validation of the plans and allowances files, and conversion to values."""

from pathlib import Path
from typing import Annotated

from pydantic import Field

from ladder_core.errors import SettingsError
from ladder_core.settings.files import SettingsModel, load_yaml
from ladder_core.values import Allowance, HeadlineMetric, Lists, Plan

_MAX_SAMPLES_PER_STEP = 65_536
_MAX_STALENESS_VERSIONS = 1000
_MAX_REPLICAS = 100_000

_Name = Annotated[str, Field(pattern='^[a-z0-9][a-z0-9-]{0,62}$')]
_Sha256Hex = Annotated[str, Field(pattern='^[0-9a-f]{64}$')]


class PlanEntry(SettingsModel):
    """Entry of the plans file; see `ladder_core.values.Plan` for its fields."""

    name: _Name
    customer: _Name
    secret_sha256: _Sha256Hex
    trainer: _Name | None = None
    samples_per_step: int = Field(default=0, ge=0, le=_MAX_SAMPLES_PER_STEP)
    staleness_versions: int = Field(default=0, ge=0, le=_MAX_STALENESS_VERSIONS)
    weighs: HeadlineMetric = HeadlineMetric.idle
    requests_per_second: float = Field(default=10, gt=0)
    tokens_per_second: float = Field(default=1000, gt=0)


class PlansFile(SettingsModel):
    """
    Content of the plans file.

    Attributes
    ----------
    revision : int
        Revision of the accepted lists on which the file is based; zero if
        there is none yet.
    plans : tuple of PlanEntry
        All plans of all organisations.

    """

    revision: int = Field(default=0, ge=0)
    plans: tuple[PlanEntry, ...]


class AllowanceEntry(SettingsModel):
    """Entry of the allowances file; see `ladder_core.values.Allowance`."""

    plan: _Name
    pools: tuple[_Name, ...] = ()
    models: tuple[_Name, ...] = ()
    data_centres: tuple[_Name, ...] = ()
    max_replicas: int = Field(default=1, ge=0, le=_MAX_REPLICAS)


class AllowancesFile(SettingsModel):
    """
    Content of the allowances file.

    Attributes
    ----------
    revision : int
        Revision of the accepted lists on which the file is based; zero if
        there is none yet.
    allowances : tuple of AllowanceEntry
        All allowances, at most one for each plan.

    """

    revision: int = Field(default=0, ge=0)
    allowances: tuple[AllowanceEntry, ...]


def read_lists(plans_path: Path, allowances_path: Path) -> Lists:
    """
    Read and validate the plans file and the allowances file.

    Parameters
    ----------
    plans_path, allowances_path : Path
        Locations of the two YAML files.

    Returns
    -------
    Lists
        Plans and allowances, with the revision on which the files are based.

    Raises
    ------
    SettingsError
        A file is invalid, a name or secret occurs twice, an allowance names
        an unknown plan, or the files have different revisions.

    """
    plans_file = load_yaml(plans_path, PlansFile)
    allowances_file = load_yaml(allowances_path, AllowancesFile)
    if plans_file.revision != allowances_file.revision:
        raise SettingsError(
            f'{plans_path} and {allowances_path} have different revisions',
            remedy='show both lists again and merge your change',
        )
    lists = Lists(
        revision=plans_file.revision,
        plans=tuple(_make_plan(entry) for entry in plans_file.plans),
        allowances=tuple(
            Allowance(**entry.model_dump())
            for entry in allowances_file.allowances
        ),
    )
    _check_consistency(lists, plans_path, allowances_path)
    return lists


def _make_plan(entry: PlanEntry) -> Plan:
    fields = entry.model_dump()
    fields['trainer'] = entry.trainer or ''
    return Plan(**fields)


def _check_consistency(lists: Lists, plans: Path, allowances: Path) -> None:
    names = [plan.name for plan in lists.plans]
    _check_unique(plans, 'name', names)
    secrets = [plan.secret_sha256 for plan in lists.plans]
    _check_unique(plans, 'secret_sha256', secrets)
    trainers = [plan.trainer for plan in lists.plans if plan.trainer]
    _check_unique(plans, 'trainer', trainers)
    allowance_plans = [allowance.plan for allowance in lists.allowances]
    _check_unique(allowances, 'plan', allowance_plans)
    for name in allowance_plans:
        if name not in names:
            raise SettingsError(
                f'{allowances}: plan: {name} is not in {plans}',
                remedy='add the plan or remove the allowance',
            )


def _check_unique(path: Path, field: str, names: list[str]) -> None:
    seen: set[str] = set()
    for name in names:
        if name in seen:
            raise SettingsError(
                f'{path}: {field}: {name} occurs twice',
                remedy='remove one of the entries',
            )
        seen.add(name)
