"""Messages that spread the configuration."""

import dataclasses

from _jasminewind import configuration
from _jasminewind import members


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigPush:
    """A configuration for the receiver to apply if it is newer."""

    config: configuration.Configuration


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigAck:
    """The sender has applied this version or a higher one."""

    version: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigFetch:
    """Ask for the configuration; the receiver has seen a higher version."""

    have_version: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigBeacon:
    """Version known to the sender.

    ``fresh`` is true when the sender is a fresh entry, or an agent that
    heard from one within the freshness limit. ``age_s`` says how long ago
    the fresh entry confirmed the version.
    """

    sender: members.NodeId
    version: int
    fresh: bool
    age_s: float
