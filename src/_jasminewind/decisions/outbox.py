"""Batching of messages to executors."""

from _jasminewind.decisions import core
from _jasminewind.decisions import pools
from _jasminewind.messages import tasks


class Outbox:
    """Starts, stops and queries of one dispatch round, by executor.

    ``flush`` returns one message of each type per executor.
    """

    def __init__(self) -> None:
        self.starts: dict[pools.ExecutorState, list[tasks.TaskStart]] = {}
        self.stops: dict[pools.ExecutorState, list[tasks.TaskKey]] = {}
        self.queries: dict[pools.ExecutorState, list[tasks.TaskKey]] = {}

    def start(
        self, executor: pools.ExecutorState, start: tasks.TaskStart
    ) -> None:
        """Add the start of a task to the round."""
        self.starts.setdefault(executor, []).append(start)

    def stop(self, executor: pools.ExecutorState, key: tasks.TaskKey) -> None:
        """Add a request to stop a task."""
        self.stops.setdefault(executor, []).append(key)

    def query(self, executor: pools.ExecutorState, key: tasks.TaskKey) -> None:
        """Add a query for the status of a task."""
        self.queries.setdefault(executor, []).append(key)

    def forget(self, executor: pools.ExecutorState) -> None:
        """Discard stops and queries for a removed executor, but no starts."""
        self.stops.pop(executor, None)
        self.queries.pop(executor, None)

    def flush(self, config_version: int) -> core.Actions:
        """Return the messages of the round and begin the next one."""
        actions: core.Actions = []
        for executor, starts in self.starts.items():
            message = tasks.StartTasks(
                keeper=executor.node,
                starts=tuple(starts),
                config_version=config_version,
            )
            actions.append(send(executor, message))
        for executor, keys in self.stops.items():
            actions.append(send(executor, tasks.StopTasks(keys=tuple(keys))))
        for executor, keys in self.queries.items():
            query = tasks.QueryTasks(keeper=executor.node, keys=tuple(keys))
            actions.append(send(executor, query))
        self.starts.clear()
        self.stops.clear()
        self.queries.clear()
        return actions


def send(executor: pools.ExecutorState, message: object) -> core.Send:
    """Return the action that sends ``message`` to an executor."""
    return core.Send(
        to=executor.node, address=executor.address, message=message
    )
