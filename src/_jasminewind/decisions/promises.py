"""Promises that a successor gives to the owner of a shard."""

from _jasminewind import members
from _jasminewind.decisions import core
from _jasminewind.messages import ownership as messages

# The owner goes 30 s ahead of its own clock; the rest allows for the
# difference between the clocks of two processes.
MAX_PROMISE_AHEAD_MS = 60 * 1000


class PromisedFloors:
    """The floors that this process has promised, by shard.

    A promise holds as long as the process lives, whoever owns the shard.
    """

    def __init__(self) -> None:
        self.floors: dict[int, int] = {}
        self.epochs: dict[int, int] = {}

    def floor_ms(self, shard: int) -> int:
        """Return the lowest floor that a takeover may write."""
        return self.floors.get(shard, 0)

    def note_epoch(self, shard: int, epoch: int) -> None:
        """Refuse promises to owners of epochs before ``epoch``."""
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

        ``owner`` is the owner of the known epoch, if known. ``is_writing``
        is true while a write of this process to the row is unresolved: it
        may still take effect with the floor it was sent with, so that a
        higher promise could not be kept.
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
