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
    """The sender has applied this version or a higher one.

    ``nonce`` is that of the ``ConfigFetch`` which this answers, or 0.
    """

    version: int
    nonce: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigFetch:
    """Ask for the configuration if it is newer than ``have_version``.

    It is answered by a ``ConfigPush``, by a ``ConfigAck`` when it is not
    newer and the sender is an entry, or by a ``ConfigBeacon`` when the
    sender is an agent. ``nonce`` returns in the ``ConfigAck``.
    """

    have_version: int
    nonce: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigBeacon:
    """Version known to the sender.

    ``fresh`` is true when the sender is a fresh entry, or an agent that
    heard from one within the freshness limit. ``age_s`` says how long ago
    the fresh entry confirmed the version. ``entries`` are the registered
    entries, sent now and then and empty otherwise.
    """

    sender: members.NodeId
    version: int
    fresh: bool
    age_s: float
    entries: tuple[members.Contact, ...] = ()
