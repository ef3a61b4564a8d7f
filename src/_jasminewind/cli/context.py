"""Shared by all commands: global options, input files, option values."""

import collections.abc
import dataclasses
import functools
import json
import os
import pathlib
import random
import time
import typing

from _jasminewind import ids
from _jasminewind.cli import client
from _jasminewind.cli import outcomes
from _jasminewind.cli import output

ENTRY_VARIABLE = "JASMINEWIND_ENTRY"
READ_TIMEOUT_S = 10.0

Body = dict[str, typing.Any]


class PendingCommand:
    """A parsed command that has not run yet.

    fire calls a command before it detects surplus arguments. Commands
    therefore return this object, which runs once all arguments are parsed.
    """

    def __init__(self, action: collections.abc.Callable[[], None]) -> None:
        # Private, because fire exposes public attributes as commands.
        self._action = action

    def __dir__(self) -> list[str]:
        return []


def run(pending: PendingCommand) -> None:
    """Run a parsed command."""
    pending._action()


def command(
    function: collections.abc.Callable[..., None],
) -> collections.abc.Callable[..., PendingCommand]:
    """Make a method return a `PendingCommand` when fire calls it."""

    @functools.wraps(function)
    def defer(*arguments: typing.Any, **options: typing.Any) -> PendingCommand:
        return PendingCommand(
            functools.partial(function, *arguments, **options)
        )

    return defer


@dataclasses.dataclass(frozen=True, kw_only=True)
class Context:
    """Options that apply to every command, and calls that use them."""

    entry: str
    is_json: bool

    def call(
        self,
        method: str,
        body: Body | None = None,
        *,
        timeout_s: float = READ_TIMEOUT_S,
        hint: str = "",
        is_first: bool = False,
    ) -> Body:
        """Call the API; see :meth:`client.Client.call`."""
        return client.Client(self.entry).call(
            method,
            body or {},
            timeout_s=timeout_s,
            hint=hint,
            is_first=is_first,
        )

    def show(
        self, body: Body, text: collections.abc.Callable[[], str]
    ) -> None:
        """Print ``body`` as JSON or as text."""
        if self.is_json:
            output.print_json(body)
        else:
            print(text())


def entry_address(option: str) -> str:
    """Return the entry URL from the option, the environment or the default."""
    return option or os.environ.get(ENTRY_VARIABLE, "") or client.DEFAULT_ENTRY


def new_id() -> str:
    """Return a new UUIDv7."""
    wall_ms = time.time_ns() // 1_000_000
    return ids.new(wall_ms=wall_ms, rng=random.SystemRandom())


def read_json_object(path: str) -> Body:
    """Return the JSON object in a file."""
    try:
        text = pathlib.Path(path).read_bytes()
    except (OSError, ValueError) as e:
        reason = getattr(e, "strerror", None) or str(e)
        raise outcomes.bad_input(
            f"{path}: cannot read the file: {reason}"
        ) from None
    return parse_json_object(path, text)


def parse_json_object(label: str, text: str | bytes) -> Body:
    """Return the JSON object in ``text``; ``label`` names its source."""
    try:
        value = json.loads(text)
    except json.JSONDecodeError as e:
        raise outcomes.bad_input(
            f"{label}: not valid JSON: {e.msg} at line {e.lineno} column "
            f"{e.colno}"
        ) from None
    except (ValueError, RecursionError) as e:
        raise outcomes.bad_input(f"{label}: not valid JSON: {e}") from None
    if not isinstance(value, dict):
        raise outcomes.bad_input(f"{label}: not a JSON object")
    return value


def parse_float(name: str, text: str) -> float:
    """Parse the numeric value of the option ``--name``."""
    try:
        return float(text)
    except (TypeError, ValueError):
        raise outcomes.bad_input(
            f"--{name}: {text!r} is not a number"
        ) from None


def parse_int(name: str, text: str) -> int:
    """Parse an integer; ``name`` is as typed: ``shard`` or ``--count``."""
    try:
        return int(text)
    except (TypeError, ValueError):
        raise outcomes.bad_input(
            f"{name}: {text!r} is not an integer"
        ) from None


def parse_bool(name: str, text: str) -> bool:
    """Parse the boolean value of the option ``--name``."""
    if text.lower() in ("true", "yes", "on", "1"):
        return True
    if text.lower() in ("false", "no", "off", "0", ""):
        return False
    raise outcomes.bad_input(f"--{name}: {text!r} is not true or false")
