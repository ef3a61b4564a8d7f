"""Cancels a job that another entry may own."""

import dataclasses
import typing

from _jasminewind import members
from _jasminewind.decisions import core
from _jasminewind.decisions.jobs import actions
from _jasminewind.decisions.jobs import owner
from _jasminewind.messages import runs

# Entries that have not answered after this time own nothing that a caller
# could still wait for; callers wait 4 s for the answer to a cancellation.
ANSWER_LIMIT_S = 0.5


@dataclasses.dataclass
class Pending:
    """A cancellation that waits for the other entries."""

    ticket: int
    job: str
    until_s: float
    missing: int


class Cancellation(core.StateMachine):
    """Asks every other entry, because any of them may own a job."""

    TICK_S = 0.1

    def __init__(self, *, jobs: owner.JobOwner) -> None:
        self.jobs = jobs
        self.entries: tuple[members.Address, ...] = ()
        self.pending: dict[int, Pending] = {}
        self.next_ticket = 1

    def handles(self) -> typing.Iterable[type]:
        """Return the messages between entries."""
        return (runs.CancelJob, runs.JobCancelled)

    def cancel(self, job: str, now: core.Instant) -> tuple[int, core.Actions]:
        """Cancel a job here or elsewhere; return a ticket for the reply."""
        ticket = self.next_ticket
        self.next_ticket += 1
        if self.jobs.state(job) is not None:
            done = self.jobs.cancel(job, "its caller cancelled it", now)
            return ticket, [
                *done,
                actions.CancelReply(ticket=ticket, known=True),
            ]
        if not self.entries:
            return ticket, [actions.CancelReply(ticket=ticket, known=False)]
        self.pending[ticket] = Pending(
            ticket, job, now.mono_s + ANSWER_LIMIT_S, len(self.entries)
        )
        message = runs.CancelJob(job=job)
        return ticket, [
            core.Send(to=members.UNNAMED, address=address, message=message)
            for address in self.entries
        ]

    def on_message(
        self, sender: members.NodeId, message: object, now: core.Instant
    ) -> core.Actions:
        """Cancel a job for another entry, or take its answer."""
        if isinstance(message, runs.CancelJob):
            known = self.jobs.state(message.job) is not None
            done = self.jobs.cancel(message.job, f"{sender} asked", now)
            reply = runs.JobCancelled(job=message.job, known=known)
            return [*done, actions.send(sender, reply)]
        if isinstance(message, runs.JobCancelled):
            return self.take_answer(message)
        return []

    def take_answer(self, message: runs.JobCancelled) -> core.Actions:
        """Reply once one entry had the job, or every one has answered."""
        replies: core.Actions = []
        for waiting in list(self.pending.values()):
            if waiting.job != message.job:
                continue
            waiting.missing -= 1
            if message.known or not waiting.missing:
                del self.pending[waiting.ticket]
                replies.append(
                    actions.CancelReply(
                        ticket=waiting.ticket, known=message.known
                    )
                )
        return replies

    def on_tick(self, now: core.Instant) -> core.Actions:
        """Reply without the entries that do not answer."""
        replies: core.Actions = []
        for waiting in list(self.pending.values()):
            if now.mono_s >= waiting.until_s:
                del self.pending[waiting.ticket]
                replies.append(
                    actions.CancelReply(ticket=waiting.ticket, known=False)
                )
        return replies
