"""Outcomes of failed work, and the error types of each layer."""

import dataclasses
import enum


class Outcome(enum.StrEnum):
    """Whether work that did not complete has run."""

    NOT_RUN = "NOT_RUN"
    MAY_HAVE_RUN = "MAY_HAVE_RUN"
    FAILED_WHILE_RUNNING = "FAILED_WHILE_RUNNING"


class Code(enum.StrEnum):
    """Error codes of the Connect protocol that this system uses."""

    CANCELED = "canceled"
    UNKNOWN = "unknown"
    INVALID_ARGUMENT = "invalid_argument"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    NOT_FOUND = "not_found"
    ALREADY_EXISTS = "already_exists"
    RESOURCE_EXHAUSTED = "resource_exhausted"
    FAILED_PRECONDITION = "failed_precondition"
    ABORTED = "aborted"
    UNIMPLEMENTED = "unimplemented"
    UNAVAILABLE = "unavailable"
    INTERNAL = "internal"


@dataclasses.dataclass(frozen=True, kw_only=True)
class IdError:
    """A text that is not a UUIDv7, and so no work id."""

    text: str
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class WorkError:
    """Why a submission did not complete, as the caller sees it.

    ``not_run_if_first`` qualifies ``MAY_HAVE_RUN``: this submission was not
    run, only an earlier one with the same id may have been.
    """

    code: Code
    outcome: Outcome
    reason: str
    not_run_if_first: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class WireError:
    """A malformed message or an unusable link.

    ``message_type`` is set if only the message cannot be read, and the frame
    can.
    """

    reason: str
    message_type: str = ""


class TableFailure(enum.StrEnum):
    """How a call to the platform's table failed."""

    CONFLICT = "CONFLICT"
    NOT_SENT = "NOT_SENT"
    UNKNOWN = "UNKNOWN"


@dataclasses.dataclass(frozen=True, kw_only=True)
class TableError:
    """A failed table call.

    ``CONFLICT`` and ``NOT_SENT`` prove that nothing was written;
    ``UNKNOWN`` means that the write may have taken effect.
    """

    failure: TableFailure
    reason: str


class EndpointFailure(enum.StrEnum):
    """How a call to a worker or a minion failed."""

    REFUSED = "REFUSED"
    STALE_GENERATION = "STALE_GENERATION"
    UNKNOWN = "UNKNOWN"
    FAILED = "FAILED"


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndpointError:
    """A failed call to a worker or a minion.

    ``REFUSED`` and ``STALE_GENERATION`` prove that the task did not start;
    ``UNKNOWN`` means that it may have started, ``FAILED`` that it failed
    while running.
    """

    failure: EndpointFailure
    reason: str
