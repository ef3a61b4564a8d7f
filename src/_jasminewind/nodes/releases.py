"""Release of shards by an operator, at an entry."""

import random

import result
from twisted.internet import defer

from _jasminewind import members
from _jasminewind.api import backend
from _jasminewind.decisions import core
from _jasminewind.decisions import ownership
from _jasminewind.nodes import node as nodes

RELEASE_TIMEOUT_S = 5.0
RELEASED = "released"
REFUSED = "refused"


class Releases:
    """Closes rows of shards whose processes are gone.

    It uses the ownership rules of an agent, but owns no shard: it gets no
    ticks and so never claims one.
    """

    def __init__(
        self, *, node: nodes.Node, member: members.Member, rng: random.Random
    ) -> None:
        self.node = node
        self.ownership = ownership.Ownership(member=member, rng=rng)
        self.waiting: defer.Deferred[backend.ReleaseResult] | None = None

    def release(self, shard: int) -> defer.Deferred[backend.ReleaseResult]:
        """Return a Deferred of the outcome."""
        if self.waiting is not None:
            busy: backend.ReleaseResult = result.Err(
                backend.ReleaseError(
                    reason="another release runs; try again", is_unchanged=True
                )
            )
            return defer.succeed(busy)
        waiting: defer.Deferred[backend.ReleaseResult] = defer.Deferred()
        self.waiting = waiting
        now = self.node.timers.now()
        self.node.perform(self.ownership, self.ownership.release(shard, now))
        self.node.timers.after(
            RELEASE_TIMEOUT_S,
            lambda now: self.finish(
                waiting,
                result.Err(
                    backend.ReleaseError(
                        reason=(
                            "the table did not answer; the shard may be "
                            "released, release it again to be sure"
                        ),
                        is_unchanged=False,
                    )
                ),
            ),
        )
        return waiting

    def logged(self, action: core.LogDecision) -> None:
        """Take the log entry that ends a release."""
        if action.kind != "release" or self.waiting is None:
            return
        if action.choice == RELEASED:
            self.finish(self.waiting, result.Ok(None))
        else:
            error = backend.ReleaseError(
                reason=action.reason, is_unchanged=action.choice == REFUSED
            )
            self.finish(self.waiting, result.Err(error))

    def finish(
        self,
        waiting: defer.Deferred[backend.ReleaseResult],
        outcome: backend.ReleaseResult,
    ) -> None:
        """End the release that ``waiting`` stands for."""
        if self.waiting is waiting:
            self.waiting = None
            waiting.callback(outcome)
