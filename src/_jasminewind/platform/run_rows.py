"""Rows of running and ended work in the response to a renewal.

A row that cannot be read is passed over alone. A run that it may name does
not count as absent, and no end that was not read is the last acknowledged.
"""

import itertools
import typing

import msgspec
import result

from _jasminewind.decisions.jobs import actions
from _jasminewind.decisions.jobs import progress
from _jasminewind.messages import runs
from _jasminewind.platform import bodies

MAX_NAME_BYTES = 60


class OddRow(typing.NamedTuple):
    """A row that cannot be read, wholly or in part, and why.

    ``name`` is its run, or the beginning of a row whose run is unreadable.
    """

    source: str
    name: str
    reason: str


class ReadState(typing.NamedTuple):
    """A translated response, and the odd rows in it.

    ``holds_end`` is set if the endpoint will list an end again, as the last
    ones cannot be read.
    """

    reply: actions.RenewReply
    odd: tuple[OddRow, ...] = ()
    holds_end: bool = False


def read(body: bytes, sent_s: float) -> ReadState:
    """Translate the body of a successful response."""
    whole = bodies.decode(body, bodies.WholeStateBody)
    if whole.is_ok():
        state = whole.unwrap()
        numbers = [row.number for row in state.ended]
        if all(a < b for a, b in itertools.pairwise(numbers)):
            return ReadState(convert_whole(state, sent_s))
    return read_rows(body, sent_s)


def convert_whole(
    state: bodies.WholeStateBody, sent_s: float
) -> actions.RenewReply:
    """Convert a response without an odd row."""
    return actions.RenewReply(
        outcome=actions.CallOutcome.DONE,
        sent_s=sent_s,
        clock_ms=state.clock_ms,
        running=tuple(
            actions.RunningRun(
                key=runs.RunKey(row.task, row.run),
                checkpoint=row.checkpoint,
                percent=int(row.percent),
            )
            for row in state.running
        ),
        ended=tuple(
            actions.ListedEnd(
                number=row.number,
                key=runs.RunKey(row.task, row.run),
                outcome=bodies.RUN_OUTCOMES[row.how],
                checkpoint=row.checkpoint,
            )
            for row in state.ended
        ),
        complete=len(state.ended) < bodies.MAX_LISTED_ENDS,
        born_ms=state.born,
    )


def read_rows(body: bytes, sent_s: float) -> ReadState:
    """Translate a response row by row, which takes several times as long."""
    decoded = bodies.decode_with_rows(body, bodies.StateBody)
    if decoded.is_err():
        lost = actions.RenewReply(
            outcome=actions.CallOutcome.LOST, sent_s=sent_s
        )
        return ReadState(lost)
    state = decoded.unwrap()
    reader = Reader()
    running, has_hidden = reader.running(state.running)
    ended, holds_end = reader.ended(state.ended)
    is_full = len(state.ended) >= bodies.MAX_LISTED_ENDS
    reply = actions.RenewReply(
        outcome=actions.CallOutcome.DONE,
        sent_s=sent_s,
        clock_ms=state.clock_ms,
        running=running,
        ended=ended,
        complete=not is_full and not has_hidden,
        born_ms=state.born,
    )
    return ReadState(reply, tuple(reader.odd), holds_end)


T = typing.TypeVar("T")


class Reader:
    """Reads the rows of one response, and collects the odd ones."""

    def __init__(self) -> None:
        self.odd: list[OddRow] = []

    def decode(
        self, text: msgspec.Raw, kind: type[T], source: str, name: str = ""
    ) -> T | None:
        """Decode a row or a field of it; ``None`` if it cannot be read."""
        match bodies.decode(bytes(text), kind):
            case result.Ok(value):
                return value
            case result.Err(error):
                name = name or repr(bytes(text)[:MAX_NAME_BYTES])
                self.odd.append(OddRow(source, name, error.reason))
        return None

    def running(
        self, rows: tuple[msgspec.Raw, ...]
    ) -> tuple[tuple[actions.RunningRun, ...], bool]:
        """Return the running work, and whether a row hides some of it."""
        found: list[actions.RunningRun] = []
        for row in rows:
            decoded = self.decode(row, bodies.RunningRow, "running")
            if decoded is not None:
                found.append(self.run(decoded))
        return tuple(found), len(found) < len(rows)

    def run(self, row: bodies.RunningRow) -> actions.RunningRun:
        """Return the run of a row; its progress may be unreadable."""
        key = runs.RunKey(row.task, row.run)
        name = str(key)
        checkpoint = self.decode(
            row.checkpoint, bodies.Checkpoint, "running", name
        )
        percent = self.decode(row.percent, bodies.Percent, "running", name)
        if percent is None:
            # It never counts as stalled.
            percent = progress.ALMOST_DONE_PERCENT
        return actions.RunningRun(
            key=key, checkpoint=checkpoint or "", percent=int(percent)
        )

    def ended(
        self, rows: tuple[msgspec.Raw, ...]
    ) -> tuple[tuple[actions.ListedEnd, ...], bool]:
        """Return the ended work, and whether the last end is unreadable.

        The numbers rise. One that does not may be too high, and would
        acknowledge ends that are not listed yet.
        """
        found: list[actions.ListedEnd] = []
        holds_end = False
        next_number = bodies.MAX_COUNT + 1
        for row in reversed(rows):
            decoded = self.decode(row, bodies.EndedRow, "ended")
            if decoded is not None and decoded.number >= next_number:
                name = f"{decoded.task}#{decoded.run}"
                reason = f"its number is not below {next_number}"
                self.odd.append(OddRow("ended", name, reason))
                decoded = None
            if decoded is None:
                holds_end = holds_end or not found
                continue
            next_number = decoded.number
            found.append(self.end(decoded))
        found.reverse()
        return tuple(found), holds_end

    def end(self, row: bodies.EndedRow) -> actions.ListedEnd:
        """Return the end in a row; how the run ended may be unreadable."""
        key = runs.RunKey(row.task, row.run)
        name = str(key)
        how = self.decode(row.how, str, "ended", name)
        if how is not None and how not in bodies.RUN_OUTCOMES:
            self.odd.append(OddRow("ended", name, f"unknown end: {how!r}"))
        checkpoint = self.decode(
            row.checkpoint, bodies.Checkpoint, "ended", name
        )
        return actions.ListedEnd(
            number=row.number,
            key=key,
            outcome=bodies.RUN_OUTCOMES.get(how or "", runs.RunOutcome.LAPSED),
            checkpoint=checkpoint or "",
        )
