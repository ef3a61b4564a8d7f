"""Interface between the Connect services and their entry."""

import abc
import dataclasses

import result
from twisted.internet import defer

from _jasminewind import changes
from _jasminewind import configuration
from _jasminewind import members
from _jasminewind.decisions import core
from _jasminewind.messages import work


@dataclasses.dataclass(frozen=True, kw_only=True)
class Readiness:
    """Result of the readiness check; ``reason`` says why it fails.

    An entry that is shutting down is not ready but still ``accepts_work``,
    because the load balancer sends calls until its next health check. So
    does one whose configuration is not ``confirmed``: it holds them for a
    moment until it is, or refuses them.
    """

    ready: bool
    reason: str = ""
    accepts_work: bool = False
    confirmed: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReleaseError:
    """Reason why a shard was not released, as a sentence.

    ``is_unchanged`` is true if the shard's row has certainly not changed.
    """

    reason: str
    is_unchanged: bool


ReleaseResult = result.Result[None, ReleaseError]
ProposeResult = result.Result[changes.ConfigAccepted, changes.ConfigRefusal]


class Backend(abc.ABC):
    """Interface of the entry that the services call.

    No method raises. A ``Deferred`` that fails is reported to the caller
    as an internal error with the outcome ``MAY_HAVE_RUN``.
    """

    @abc.abstractmethod
    def new_id(self) -> str:
        """Return an id for a submission without one."""

    @abc.abstractmethod
    def submit(self, submit: work.Submit) -> defer.Deferred[work.Answer]:
        """Forward a job or a request; fire with its answer."""

    @abc.abstractmethod
    def cancel(self, work_id: str) -> None:
        """Tell the owner that no caller waits for the answer any more."""

    @abc.abstractmethod
    def query(
        self, work_id: str, *, refuse_unknown: bool = False
    ) -> defer.Deferred[work.WorkStatus]:
        """Fire with the state; ``UNKNOWN`` if no process knows the id.

        With ``refuse_unknown``, an id that is ``UNKNOWN`` and not said to
        possibly have run will not run later either.
        """

    @abc.abstractmethod
    def explain(self, work_id: str) -> defer.Deferred[work.ExplainReply]:
        """Fire with the recent entries of the decision log for the id."""

    @abc.abstractmethod
    def config(self) -> configuration.Configuration:
        """Return the configuration in force."""

    @abc.abstractmethod
    def propose(
        self, change: changes.ConfigChange
    ) -> defer.Deferred[ProposeResult]:
        """Propose a change that was validated against ``config()``."""

    @abc.abstractmethod
    def wait_config(
        self, after_version: int, timeout_s: float
    ) -> defer.Deferred[configuration.Configuration]:
        """Fire with a newer configuration, or the current one at timeout."""

    @abc.abstractmethod
    def members(self) -> tuple[members.Member, ...]:
        """Return the live members of all cells."""

    @abc.abstractmethod
    def release_shard(self, shard: int) -> defer.Deferred[ReleaseResult]:
        """Close a shard's row so that any agent may claim it."""

    @abc.abstractmethod
    def is_ready(self) -> Readiness:
        """Tell whether the entry is up to date and not shutting down."""

    @abc.abstractmethod
    def now(self) -> core.Instant:
        """Return the current instant."""
