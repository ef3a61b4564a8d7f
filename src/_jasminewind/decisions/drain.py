"""State machine of draining an endpoint."""

import enum
import typing

import automat


class DrainState(enum.StrEnum):
    """Whether an endpoint accepts tasks."""

    SERVING = "serving"
    DRAINING = "draining"
    DRAINED = "drained"


class DrainInputs(typing.Protocol):
    """Inputs of the drain state machine."""

    def begin(self) -> None:
        """Stop accepting tasks and let the running ones finish."""

    def finish(self) -> None:
        """Record that no task is left."""

    def cancel(self) -> None:
        """Accept tasks again."""

    def state(self) -> DrainState:
        """Return the current state."""


class DrainContext:
    """Shared data of the state machine; empty, but automat requires it."""


def build() -> typing.Callable[[DrainContext], DrainInputs]:
    """Return the factory of drain state machines."""
    builder = automat.TypeMachineBuilder(DrainInputs, DrainContext)
    serving = builder.state("serving")
    draining = builder.state("draining")
    drained = builder.state("drained")
    for state, value in (
        (serving, DrainState.SERVING),
        (draining, DrainState.DRAINING),
        (drained, DrainState.DRAINED),
    ):
        query = state.upon(DrainInputs.state).loop()
        query.returns(value)
    serving.upon(DrainInputs.begin).to(draining).returns(None)
    serving.upon(DrainInputs.finish).loop().returns(None)
    serving.upon(DrainInputs.cancel).loop().returns(None)
    draining.upon(DrainInputs.begin).loop().returns(None)
    draining.upon(DrainInputs.finish).to(drained).returns(None)
    draining.upon(DrainInputs.cancel).to(serving).returns(None)
    drained.upon(DrainInputs.begin).loop().returns(None)
    drained.upon(DrainInputs.finish).loop().returns(None)
    drained.upon(DrainInputs.cancel).to(serving).returns(None)
    return builder.build()


MACHINE = build()


def new_drain_machine() -> DrainInputs:
    """Return a drain state machine in the serving state."""
    return MACHINE(DrainContext())
