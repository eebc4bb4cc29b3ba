"""Plans and allowances of an experiment."""

import hashlib
from pathlib import Path

import yaml

from bench.deployments import MODEL, Deployment
from bench.experiment import Experiment, TrainerSettings
from ladder_standins.operator import ListFiles

APP_PLAN = 'app'

_APP_REQUESTS_PER_SECOND = 1000
_SAMPLES_PER_STEP = 65_536
_SCORERS = 'scorers'


def make_secret(plan: str) -> str:
    """Return the secret of a plan; the bench derives it from the name."""
    return f'secret-of-{plan}'


def write_plans(
    folder: Path,
    experiment: Experiment,
    deployment: Deployment,
) -> ListFiles:
    """
    Write a plan for each trainer and one for the interactive callers.

    Parameters
    ----------
    folder : Path
        Folder for the two files.
    experiment : Experiment
        Experiment whose trainers get plans.
    deployment : Deployment
        Deployment whose pools the plans may use.

    Returns
    -------
    ListFiles
        Paths of the two files.

    """
    plans = [_make_trainer_plan(trainer) for trainer in experiment.trainers]
    plans.append(_make_app_plan())
    pools = [deployment.engine_pool, deployment.service_pool, _SCORERS]
    allowances = [
        {
            'plan': plan['name'],
            'pools': pools,
            'models': [MODEL],
            'max_replicas': deployment.engines,
        }
        for plan in plans
    ]
    files = ListFiles(folder / 'plans.yaml', folder / 'allowances.yaml')
    files.plans.write_text(yaml.safe_dump({'plans': plans}))
    files.allowances.write_text(yaml.safe_dump({'allowances': allowances}))
    return files


def _make_trainer_plan(trainer: TrainerSettings) -> dict[str, object]:
    return {
        'name': trainer.name,
        'customer': trainer.name,
        'trainer': trainer.name,
        'samples_per_step': _SAMPLES_PER_STEP,
        'staleness_versions': trainer.bound,
        'weighs': trainer.weighs,
        'tokens_per_second': trainer.tokens_per_second,
        'secret_sha256': _hash(make_secret(trainer.name)),
    }


def _make_app_plan() -> dict[str, object]:
    return {
        'name': APP_PLAN,
        'customer': APP_PLAN,
        'requests_per_second': _APP_REQUESTS_PER_SECOND,
        'secret_sha256': _hash(make_secret(APP_PLAN)),
    }


def _hash(secret: str) -> str:
    return hashlib.sha256(secret.encode()).hexdigest()
