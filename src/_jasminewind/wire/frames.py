"""Frame codec: a 4-byte length, then a message as JSON."""

import functools
import typing

import msgspec
import result

from _jasminewind import errors
from _jasminewind import json_input
from _jasminewind.messages import registry

MAX_FRAME_BYTES = 1 << 20
MAX_TYPE_CHARS = 64


class Envelope(msgspec.Struct, frozen=True):
    """Name of the message type, and its fields as undecoded JSON."""

    type: str
    body: msgspec.Raw


class OutgoingEnvelope(msgspec.Struct, frozen=True):
    """An envelope before its body is encoded."""

    type: str
    body: typing.Any


ENCODER = msgspec.json.Encoder()
ENVELOPE_DECODER = msgspec.json.Decoder(Envelope)


@functools.cache
def body_decoder(name: str) -> msgspec.json.Decoder | None:
    """Return the decoder of a message type, ``None`` if it is unknown."""
    message_type = registry.message_type(name)
    return None if message_type is None else msgspec.json.Decoder(message_type)


def encode(message: object) -> bytes:
    """Return the frame payload for ``message``."""
    envelope = OutgoingEnvelope(type(message).__name__, message)
    return ENCODER.encode(envelope)


def decode(payload: bytes) -> result.Result[object, errors.WireError]:
    """Return the message in a frame payload."""
    try:
        envelope = ENVELOPE_DECODER.decode(payload)
    except json_input.MALFORMED as e:
        return result.Err(errors.WireError(reason=f"malformed frame: {e}"))
    name = envelope.type[:MAX_TYPE_CHARS]
    if envelope.type not in registry.MODULE_BY_TYPE:
        reason = f"unknown message type {name!r}"
        return result.Err(errors.WireError(reason=reason, message_type=name))
    decoder = body_decoder(envelope.type)
    assert decoder is not None
    try:
        return result.Ok(decoder.decode(envelope.body))
    except json_input.MALFORMED as e:
        reason = f"malformed {name}: {e}"
        return result.Err(errors.WireError(reason=reason, message_type=name))
