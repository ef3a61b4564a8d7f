"""Messages to keepers, collected over one round."""

from _jasminewind.decisions import core
from _jasminewind.decisions import pools
from _jasminewind.messages import tasks


class Outbox:
    """Starts, stops and queries of one round, by keeper.

    They leave as one message of each type per keeper.
    """

    def __init__(self) -> None:
        self.starts: dict[pools.ExecutorState, list[tasks.TaskStart]] = {}
        self.stops: dict[pools.ExecutorState, list[tasks.TaskKey]] = {}
        self.queries: dict[pools.ExecutorState, list[tasks.TaskKey]] = {}

    def start(
        self, keeper: pools.ExecutorState, start: tasks.TaskStart
    ) -> None:
        """Send a start at the end of the round."""
        self.starts.setdefault(keeper, []).append(start)

    def stop(self, keeper: pools.ExecutorState, key: tasks.TaskKey) -> None:
        """Ask the keeper to stop a task."""
        self.stops.setdefault(keeper, []).append(key)

    def query(self, keeper: pools.ExecutorState, key: tasks.TaskKey) -> None:
        """Ask the keeper what became of a start."""
        self.queries.setdefault(keeper, []).append(key)

    def forget(self, keeper: pools.ExecutorState) -> None:
        """Send a keeper that is gone neither stops nor queries."""
        self.stops.pop(keeper, None)
        self.queries.pop(keeper, None)

    def flush(self, config_version: int) -> core.Actions:
        """Return the messages of the round and begin the next."""
        actions: core.Actions = []
        for keeper, starts in self.starts.items():
            message = tasks.StartTasks(
                keeper=keeper.node,
                starts=tuple(starts),
                config_version=config_version,
            )
            actions.append(send(keeper, message))
        for keeper, keys in self.stops.items():
            actions.append(send(keeper, tasks.StopTasks(keys=tuple(keys))))
        for keeper, keys in self.queries.items():
            query = tasks.QueryTasks(keeper=keeper.node, keys=tuple(keys))
            actions.append(send(keeper, query))
        self.starts.clear()
        self.stops.clear()
        self.queries.clear()
        return actions


def send(keeper: pools.ExecutorState, message: object) -> core.Send:
    """Return the action that sends ``message`` to a keeper."""
    return core.Send(to=keeper.node, address=keeper.address, message=message)
