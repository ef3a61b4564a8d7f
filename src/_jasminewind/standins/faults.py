"""Faults of a stand-in that a test switches on and off."""

import typing

import msgspec
import result

MAX_DELAY_S = 600.0


class Faults(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """The faults in force; each ``POST /v1/faults`` replaces all of them.

    ``delay_s`` delays every call before its effect. ``refuse`` answers 503,
    not run. ``fail`` fails everything fast. ``drop_answer`` closes the
    connection after the effect. ``freeze`` accepts and never answers, with
    no effect, or after it together with ``drop_answer``. ``freeze_open``
    freezes only the connections that are open when it is switched on.
    ``down`` closes the port and all connections. ``silent`` stops the
    announcements. ``paths`` limits the faults of calls to these paths;
    empty means all.
    """

    delay_s: typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_DELAY_S)] = 0.0
    refuse: bool = False
    fail: bool = False
    drop_answer: bool = False
    freeze: bool = False
    freeze_open: bool = False
    down: bool = False
    silent: bool = False
    paths: tuple[str, ...] = ()

    def applies_to(self, path: str) -> bool:
        """Tell whether the faults of calls concern ``path``."""
        return not self.paths or path in self.paths


DECODER = msgspec.json.Decoder(Faults)


def decode(body: bytes) -> result.Result[Faults, str]:
    """Return the faults in an HTTP body, or why they are not valid."""
    try:
        return result.Ok(DECODER.decode(body))
    except (msgspec.MsgspecError, UnicodeDecodeError) as e:
        return result.Err(f"malformed faults: {e}")
