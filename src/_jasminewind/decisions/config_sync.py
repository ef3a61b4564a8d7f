"""Base of the configuration sync: apply only newer versions."""

import abc
import collections.abc
import random

from _jasminewind import configuration
from _jasminewind import members
from _jasminewind.decisions import core
from _jasminewind.messages import configuration as config_messages

FETCH_PERIOD_S = 0.3


class ConfigSync(core.StateMachine):
    """Holds the newest configuration that this process has received.

    Only higher versions are applied, so late and duplicate pushes are
    harmless.
    """

    def __init__(self, *, member: members.Member, rng: random.Random) -> None:
        self.member = member
        self.rng = rng
        self.config = configuration.NO_CONFIGURATION
        self.last_fetch_s: dict[members.NodeId, float] = {}

    def handles(self) -> collections.abc.Iterable[type]:
        """Return the messages that distribute the configuration."""
        return (
            config_messages.ConfigPush,
            config_messages.ConfigAck,
            config_messages.ConfigFetch,
            config_messages.ConfigBeacon,
        )

    def current(self) -> configuration.Configuration:
        """Return the configuration in force, version 0 if none is."""
        return self.config

    @abc.abstractmethod
    def is_fresh(self, now: core.Instant) -> bool:
        """Return whether new work may be accepted under this version."""

    @abc.abstractmethod
    def address_of(self, node: members.NodeId) -> members.Address:
        """Return the address of ``node``, ``NO_ADDRESS`` if unknown."""

    def on_version_seen(
        self, sender: members.NodeId, version: int, now: core.Instant
    ) -> core.Actions:
        """Fetch the configuration from ``sender`` if ``version`` is newer."""
        if version <= self.config.version:
            return []
        last_s = self.last_fetch_s.get(sender, float("-inf"))
        if now.mono_s - last_s < FETCH_PERIOD_S:
            return []
        self.last_fetch_s[sender] = now.mono_s
        message = config_messages.ConfigFetch(have_version=self.config.version)
        return [self.send(sender, message)]

    def apply(
        self, config: configuration.Configuration, now: core.Instant
    ) -> core.Actions:
        """Put ``config`` in force if it is newer than the current one."""
        if config.version <= self.config.version:
            return []
        self.config = config
        self.last_fetch_s.clear()
        return [
            core.ApplyConfig(config=config),
            core.LogDecision(
                kind="configuration",
                choice=str(config.version),
                reason=f"version {config.version} is the newest received",
            ),
            *self.on_applied(now),
        ]

    def on_applied(self, now: core.Instant) -> core.Actions:
        """Distribute the configuration that was just put in force."""
        del now
        return []

    def push(self, to: members.NodeId) -> core.Send:
        """Return the action that sends the whole configuration."""
        return self.send(to, config_messages.ConfigPush(config=self.config))

    def send(self, to: members.NodeId, message: object) -> core.Send:
        """Return the action that sends ``message`` to a process."""
        return core.Send(to=to, address=self.address_of(to), message=message)
