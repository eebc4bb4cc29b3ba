"""The row that records a trainer's open and closed steps."""

import msgspec

from ladder_node.steps.errors import StepClosedError, StepContentsError
from ladder_node.steps.spec import StepSpec

STEPS_TABLE = 'steps'

_MAX_OPEN_STEPS = 16
_MAX_RUNS = 8


class OpenStep(msgspec.Struct, frozen=True):
    """
    A step that was opened and not closed.

    Attributes
    ----------
    step : int
        Number of the step within its trainer.
    digest : str
        Digest of the step's contents, compared when it is opened again.
    runs : tuple of str
        Identifiers of the runs that may have saved groups, the latest last.

    """

    step: int
    digest: str
    runs: tuple[str, ...] = ()


class TrainerRecord(msgspec.Struct, frozen=True):
    """
    The open and closed steps of one trainer.

    Attributes
    ----------
    closed_to : int
        This number and all lower ones that are not open are closed and are
        not used again.
    steps : tuple of OpenStep
        The open steps in the order of their numbers.

    Examples
    --------
    >>> record = TrainerRecord(steps=(OpenStep(0, 'a'), OpenStep(1, 'b')))
    >>> record = record.close(1)
    >>> record.is_closed(0), record.is_closed(1)
    (False, True)

    """

    closed_to: int = -1
    steps: tuple[OpenStep, ...] = ()

    def find(self, step: int) -> OpenStep | None:
        """Return an open step, or None if no step of the number is open."""
        for candidate in self.steps:
            if candidate.step == step:
                return candidate
        return None

    def is_closed(self, step: int) -> bool:
        """Whether the step of a number is closed."""
        return step <= self.closed_to and self.find(step) is None

    def open(self, spec: StepSpec, run_id: str) -> 'TrainerRecord':
        """
        Return the record with a step opened and a run added to it.

        Parameters
        ----------
        spec : StepSpec
            Contents of the step; only its number and digest are recorded.
        run_id : str
            Identifier of the run; the oldest is dropped beyond the limit.

        Raises
        ------
        StepClosedError
            The step of this number is closed.
        StepContentsError
            The step is open with other contents.

        """
        if self.is_closed(spec.step):
            raise make_closed_error(spec.name)
        opened = self.find(spec.step)
        if opened is None:
            opened = OpenStep(spec.step, spec.digest)
        if opened.digest != spec.digest:
            raise make_contents_error(spec.name)
        if run_id not in opened.runs:
            runs = (*opened.runs, run_id)[-_MAX_RUNS:]
            opened = msgspec.structs.replace(opened, runs=runs)
        others = (other for other in self.steps if other.step != spec.step)
        return _trim(self.closed_to, (*others, opened))

    def close(self, step: int) -> 'TrainerRecord':
        """Return the record with the step of a number closed."""
        others = tuple(other for other in self.steps if other.step != step)
        return TrainerRecord(max(self.closed_to, step), others)


def make_closed_error(name: str) -> StepClosedError:
    """Return the error for a step that is closed."""
    return StepClosedError(
        f'step {name} is closed',
        remedy='open a step with a higher number',
    )


def make_contents_error(name: str) -> StepContentsError:
    """Return the error for a step that is open with other contents."""
    return StepContentsError(
        f'step {name} is open with other prompts',
        remedy='repeat the first prompts or open another step',
    )


def _trim(closed_to: int, steps: tuple[OpenStep, ...]) -> TrainerRecord:
    """Close the steps with the lowest numbers beyond the limit."""
    ordered = sorted(steps, key=_read_number)
    for abandoned in ordered[:-_MAX_OPEN_STEPS]:
        closed_to = max(closed_to, abandoned.step)
    return TrainerRecord(closed_to, tuple(ordered[-_MAX_OPEN_STEPS:]))


def _read_number(opened: OpenStep) -> int:
    return opened.step
