"""Payload format that controls how a stand-in simulates a task."""

import dataclasses
import json

import msgspec


@dataclasses.dataclass(frozen=True, kw_only=True)
class Simulation:
    """Payload fields that the stand-ins read; others are ignored.

    ``run_s`` is the run time at speed 1. ``cores`` and ``memory_mb`` are the
    actual usage on a worker and default to the declared demand.
    """

    run_s: float = 0.05
    fail: bool = False
    cores: float | None = None
    memory_mb: float | None = None


DECODER = msgspec.json.Decoder(Simulation)


def decode(payload: str) -> Simulation:
    """Decode a payload; an invalid one simulates a failing task."""
    try:
        return DECODER.decode(payload or "{}")
    except msgspec.MsgspecError:
        return Simulation(fail=True)


def output(endpoint: str, payload: str) -> str:
    """Return a task's result: its endpoint and an echo of its payload."""
    try:
        echo = json.loads(payload or "{}")
    except ValueError:
        echo = payload
    return json.dumps({"endpoint": endpoint, "echo": echo})
