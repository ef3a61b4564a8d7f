"""Fault injection settings of a stand-in, replaced over HTTP."""

import typing

import msgspec
import result

MAX_DELAY_S = 600.0


class Faults(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """The active faults; each ``POST /v1/faults`` replaces all of them.

    ``delay_s`` delays every call before it runs. ``refuse`` returns 503 with
    ``not_run``. ``fail`` fails every call at once. ``drop_answer`` runs the
    call, then closes the connection without a response. ``freeze`` accepts
    calls and neither runs nor answers them; with ``drop_answer`` it runs
    them. ``freeze_open`` freezes only the connections that are open when it
    is switched on. ``down`` closes the service port and its connections.
    ``silent`` stops the announcements. ``paths`` limits the faults of calls
    to these paths; empty means all.
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
        """Tell whether the faults of calls apply to ``path``."""
        return not self.paths or path in self.paths


DECODER = msgspec.json.Decoder(Faults)


def decode(body: bytes) -> result.Result[Faults, str]:
    """Decode the faults in an HTTP body, or say why they are invalid."""
    try:
        return result.Ok(DECODER.decode(body))
    except (msgspec.MsgspecError, UnicodeDecodeError) as e:
        return result.Err(f"invalid faults: {e}")
