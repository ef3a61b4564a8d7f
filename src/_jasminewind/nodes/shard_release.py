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


class ShardReleaser:
    """Closes rows of shards whose processes are gone.

    It uses the ownership rules of an agent, but owns no shard: it gets no
    ticks and so never claims one.
    """

    def __init__(
        self, *, node: nodes.Node, member: members.Member, rng: random.Random
    ) -> None:
        self.node = node
        self.ownership = ownership.Ownership(member=member, rng=rng)
        self.pending: defer.Deferred[backend.ReleaseResult] | None = None

    def release(self, shard: int) -> defer.Deferred[backend.ReleaseResult]:
        """Return a Deferred of the outcome."""
        if self.pending is not None:
            busy: backend.ReleaseResult = result.Err(
                backend.ReleaseError(
                    reason="another release runs; try again", is_certain=True
                )
            )
            return defer.succeed(busy)
        pending: defer.Deferred[backend.ReleaseResult] = defer.Deferred()
        self.pending = pending
        now = self.node.timers.now()
        self.node.perform(self.ownership, self.ownership.release(shard, now))
        self.node.timers.after(
            RELEASE_TIMEOUT_S,
            lambda now: self.complete(
                pending,
                result.Err(
                    backend.ReleaseError(
                        reason=(
                            "the table did not answer; the shard may be "
                            "released, release it again to be sure"
                        ),
                        is_certain=False,
                    )
                ),
            ),
        )
        return pending

    def on_log_decision(self, action: core.LogDecision) -> None:
        """Take the log entry that ends a release."""
        if action.kind != "release" or self.pending is None:
            return
        if action.choice == RELEASED:
            self.complete(self.pending, result.Ok(None))
        else:
            error = backend.ReleaseError(
                reason=action.reason, is_certain=action.choice == REFUSED
            )
            self.complete(self.pending, result.Err(error))

    def complete(
        self,
        pending: defer.Deferred[backend.ReleaseResult],
        outcome: backend.ReleaseResult,
    ) -> None:
        """End the release that ``pending`` stands for."""
        if self.pending is pending:
            self.pending = None
            pending.callback(outcome)
