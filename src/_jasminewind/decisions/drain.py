"""The drain state machine of an endpoint."""

import enum
import typing

import automat


class DrainState(enum.StrEnum):
    """Whether an endpoint takes work."""

    SERVING = "serving"
    DRAINING = "draining"
    DRAINED = "drained"


class DrainInputs(typing.Protocol):
    """What moves an endpoint between its drain states."""

    def begin(self) -> None:
        """Take no new work and let the running tasks finish."""

    def finish(self) -> None:
        """Note that nothing runs any more."""

    def cancel(self) -> None:
        """Take work again."""

    def state(self) -> DrainState:
        """Return the current state."""


class DrainContext:
    """Shared data of the machine; it has none."""


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
    """Return a drain state machine in its serving state."""
    return MACHINE(DrainContext())
