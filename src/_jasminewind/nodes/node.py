"""Base of the processes with a table and a configuration."""

import collections.abc
import typing

from twisted.internet import defer

from _jasminewind import configuration
from _jasminewind.decisions import core
from _jasminewind.messages import tasks as task_messages
from _jasminewind.messages import work as work_messages
from _jasminewind.nodes import linked_node
from _jasminewind.platform import client

# Messages that lead to no start and no answer. A refusal of starts or a
# redirect counts as two, because the message it replies to was wasted too.
WASTED_MESSAGES: dict[type, int] = {
    task_messages.TasksRefused: 2,
    work_messages.Redirect: 2,
    task_messages.QueryTasks: 1,
    task_messages.TaskStatuses: 1,
}


class Node(linked_node.LinkedNode):
    """A process with access to the table and a configuration."""

    WASTED_MESSAGES = WASTED_MESSAGES

    def __init__(self, *, table: client.Table, **options: typing.Any) -> None:
        super().__init__(**options)
        self.table = table
        self.handlers[core.ReadTable] = self._read_table
        self.handlers[core.WriteTable] = self._write_table
        self.handlers[core.ApplyConfig] = self._apply_config_action

    def apply_config(self, config: configuration.Configuration) -> None:
        """Notify every state machine of the configuration in force."""
        now = self.timers.now()
        for machine in self.state_machines:
            self.perform(machine, machine.on_config(config, now))

    def _read_table(
        self, machine: core.StateMachine, action: core.ReadTable
    ) -> None:
        def on_reply(outcome: typing.Any) -> None:
            reply = core.TableReadReply(
                tag=action.tag,
                rows=outcome.unwrap_or(()),
                error=outcome.err(),
            )
            now = self.timers.now()
            self.perform(machine, machine.on_table_read(reply, now))

        reading = self.table.read(action.keys, action.prefix)
        self._add_callbacks(reading, on_reply)

    def _write_table(
        self, machine: core.StateMachine, action: core.WriteTable
    ) -> None:
        def on_reply(outcome: typing.Any) -> None:
            reply = core.TableWriteReply(
                tag=action.tag,
                key=action.key,
                version=outcome.unwrap_or(0),
                error=outcome.err(),
            )
            now = self.timers.now()
            self.perform(machine, machine.on_table_written(reply, now))

        writing = self.table.write(
            action.key, action.expected_version, action.value
        )
        self._add_callbacks(writing, on_reply)

    def _add_callbacks(
        self,
        call: defer.Deferred[typing.Any],
        on_reply: collections.abc.Callable[[typing.Any], None],
    ) -> None:
        call.addCallback(on_reply)
        call.addErrback(self.report_failure)

    def _apply_config_action(
        self, machine: core.StateMachine, action: core.ApplyConfig
    ) -> None:
        del machine
        self.apply_config(action.config)
