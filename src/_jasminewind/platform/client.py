"""Interfaces of the clients of the platform's table and endpoints."""

import abc
import collections.abc

import result
from twisted.internet import defer

from _jasminewind import errors
from _jasminewind.decisions import core
from _jasminewind.messages import tasks


class Table(abc.ABC):
    """The platform's transactional table."""

    @abc.abstractmethod
    def read(
        self, keys: tuple[str, ...], prefix: str
    ) -> defer.Deferred[
        result.Result[tuple[core.TableRow, ...], errors.TableError]
    ]:
        """Return the named rows and all rows whose key has ``prefix``.

        A named row that does not exist has version 0. An empty ``prefix``
        selects nothing.
        """

    @abc.abstractmethod
    def write(
        self, key: str, expected_version: int, value: str | None
    ) -> defer.Deferred[result.Result[int, errors.TableError]]:
        """Compare-and-set one row; return its new version."""


EndCallback = collections.abc.Callable[[core.TaskEnd], None]
UsageCallback = collections.abc.Callable[[tuple[tasks.Usage, ...]], None]


class EndpointClient(abc.ABC):
    """Client of the endpoint of an agent: a minion or a worker."""

    @abc.abstractmethod
    def attach(
        self, on_end: EndCallback, on_usage: UsageCallback
    ) -> defer.Deferred[
        result.Result[tuple[tasks.TaskKey, ...], errors.EndpointError]
    ]:
        """Become the only holder and return the tasks that already run.

        From then on a worker refuses starts of earlier holders. A minion
        returns no tasks.
        """

    @abc.abstractmethod
    def start(self, start: tasks.TaskStart) -> None:
        """Start a task once; ``on_end`` is called when it ends.

        The start is never sent again. If the response of a worker is lost,
        its leases tell whether the task was started.
        """

    @abc.abstractmethod
    def control(self, key: tasks.TaskKey, command: core.TaskCommand) -> None:
        """Stop, throttle or checkpoint a running task."""

    @abc.abstractmethod
    def detach(self) -> None:
        """Release the endpoint and cancel all calls to it."""
