"""Handshake and keep-alive messages of a link."""

import dataclasses

from _jasminewind import members

PROTOCOL_VERSION = 1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Hello:
    """First message on a link, in both directions.

    ``accepts_compression`` is false in processes of earlier versions, which
    do not send the field.
    """

    protocol_version: int
    sender: members.NodeId
    address: members.Address
    role: members.Role
    accepts_compression: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class HelloRefused:
    """Last message before the receiver of a ``Hello`` closes the link."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ping:
    """Application-level keep-alive probe of a link."""

    nonce: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pong:
    """Reply to the ``Ping`` with the same nonce."""

    nonce: int
