"""Promises of a successor not to take over a shard below a floor."""

from _jasminewind import members
from _jasminewind.decisions import core
from _jasminewind.messages import ownership as messages

# The owner extends up to 30 s ahead of its own clock; the other 30 s allow
# for clock skew between two processes.
MAX_PROMISE_AHEAD_MS = 60 * 1000


class PromisedFloors:
    """The floors that this process has promised, by shard.

    A promise binds the process until it exits, whoever owns the shard.
    """

    def __init__(self) -> None:
        self.floors: dict[int, int] = {}
        self.epochs: dict[int, int] = {}

    def floor_ms(self, shard: int) -> int:
        """Return the lowest floor that a takeover may write."""
        return self.floors.get(shard, 0)

    def note_epoch(self, shard: int, epoch: int) -> None:
        """Refuse promises to owners of epochs older than ``epoch``."""
        self.epochs[shard] = max(epoch, self.epochs.get(shard, 0))

    def answer(
        self,
        request: messages.PromiseRequest,
        *,
        sender: members.NodeId,
        owner: members.NodeId | None,
        is_writing: bool,
        now: core.Instant,
    ) -> messages.PromiseReply:
        """Grant or refuse a promise.

        ``owner`` is the owner of the requested epoch, if known.
        ``is_writing`` is set while a write of this process to the row is
        unresolved: the write may still take effect with its own floor, which
        would break a higher promise.
        """
        known = self.epochs.get(request.shard, 0)
        stale = request.epoch < known
        foreign = request.epoch == known and owner not in (None, sender)
        if stale or foreign or is_writing:
            return messages.PromiseReply(
                shard=request.shard,
                epoch=known,
                ceiling_ms=0,
                granted=False,
            )
        self.note_epoch(request.shard, request.epoch)
        floor_ms = min(request.ceiling_ms, now.wall_ms + MAX_PROMISE_AHEAD_MS)
        floor_ms = max(floor_ms, self.floor_ms(request.shard))
        self.floors[request.shard] = floor_ms
        return messages.PromiseReply(
            shard=request.shard,
            epoch=request.epoch,
            ceiling_ms=floor_ms,
            granted=True,
        )
