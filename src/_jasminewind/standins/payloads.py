"""What a task's payload tells a stand-in to simulate."""

import dataclasses
import json

import msgspec


@dataclasses.dataclass(frozen=True, kw_only=True)
class Simulation:
    """Fields of a payload that the stand-ins read; others are ignored.

    ``run_s`` is the run time at speed 1. ``cores`` and ``memory_mb`` are
    what the task really uses on a worker; by default what it declares.
    """

    run_s: float = 0.05
    fail: bool = False
    cores: float | None = None
    memory_mb: float | None = None


DECODER = msgspec.json.Decoder(Simulation)


def decode(payload: str) -> Simulation:
    """Return the simulation that a payload asks for."""
    try:
        return DECODER.decode(payload or "{}")
    except msgspec.MsgspecError:
        return Simulation(fail=True)


def output(endpoint: str, payload: str) -> str:
    """Return the result of a task: who ran it, and its payload."""
    try:
        echo = json.loads(payload or "{}")
    except ValueError:
        echo = payload
    return json.dumps({"endpoint": endpoint, "echo": echo})
