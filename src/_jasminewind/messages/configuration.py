"""Messages that distribute the configuration."""

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

    The reply is a ``ConfigPush`` if it is newer; otherwise a ``ConfigAck``
    with the same ``nonce`` to an entry, or a ``ConfigBeacon`` to an agent.
    """

    have_version: int
    nonce: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigBeacon:
    """Version that the sender has applied, and how recently it was confirmed.

    ``fresh`` is true if the sender is a fresh entry or an agent that forwards
    the beacon of one. ``age_s`` is the time since the entry confirmed the
    version. ``entries`` lists the registered entries after a change and
    periodically, and is empty otherwise.
    """

    sender: members.NodeId
    version: int
    fresh: bool
    age_s: float
    entries: tuple[members.Contact, ...] = ()
