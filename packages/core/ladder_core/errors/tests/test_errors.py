from ladder_core.errors import (
    Execution,
    MayHaveRunError,
    NotRunError,
    PoisonousRequestError,
    TargetLostError,
    UnknownNameError,
)


def test_refusals_guarantee_that_nothing_ran():
    assert issubclass(UnknownNameError, NotRunError)
    assert UnknownNameError.execution is Execution.not_run


def test_no_error_after_the_first_byte_is_a_refusal():
    for kind in (MayHaveRunError, TargetLostError, PoisonousRequestError):
        assert not issubclass(kind, NotRunError)
        assert kind.execution is not Execution.not_run
