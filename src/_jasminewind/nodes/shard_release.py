"""Releases orphaned shards at an entry when an operator asks for it."""

import random

import result
from twisted.internet import defer

from _jasminewind import members
from _jasminewind.api import backend
from _jasminewind.decisions import core
from _jasminewind.decisions import ownership
from _jasminewind.nodes import node as nodes

RELEASE_TIMEOUT_S = 5.0
# Choices of the "release" decision of the ownership state machine.
RELEASED = "released"
REFUSED = "refused"


class ShardReleaser:
    """Closes table rows of shards whose owner and successors are gone.

    It runs the ownership state machine of an agent without ticks, so that
    it never claims a shard itself.
    """

    def __init__(
        self, *, node: nodes.Node, member: members.Member, rng: random.Random
    ) -> None:
        self.node = node
        self.ownership = ownership.Ownership(member=member, rng=rng)
        self.pending: defer.Deferred[backend.ReleaseResult] | None = None

    def release(self, shard: int) -> defer.Deferred[backend.ReleaseResult]:
        """Release a shard; fire with the outcome or a timeout error."""
        if self.pending is not None:
            busy: backend.ReleaseResult = result.Err(
                backend.ReleaseError(
                    reason="another release is running; try again",
                    is_unchanged=True,
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
                        is_unchanged=False,
                    )
                ),
            ),
        )
        return pending

    def on_log_decision(self, action: core.LogDecision) -> None:
        """End the release whose outcome this log entry reports."""
        if action.kind != "release" or self.pending is None:
            return
        if action.choice == RELEASED:
            self.complete(self.pending, result.Ok(None))
        else:
            error = backend.ReleaseError(
                reason=action.reason, is_unchanged=action.choice == REFUSED
            )
            self.complete(self.pending, result.Err(error))

    def complete(
        self,
        pending: defer.Deferred[backend.ReleaseResult],
        outcome: backend.ReleaseResult,
    ) -> None:
        """Fire ``pending`` with the outcome, unless the release has ended."""
        if self.pending is pending:
            self.pending = None
            pending.callback(outcome)
