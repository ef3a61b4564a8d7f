"""Cancellation of a job at whichever entry owns it or will receive it."""

import collections
import collections.abc
import dataclasses
import typing

from _jasminewind import members
from _jasminewind.decisions import core
from _jasminewind.decisions.jobs import actions
from _jasminewind.decisions.jobs import ended_jobs
from _jasminewind.decisions.jobs import owner
from _jasminewind.decisions.jobs import registry
from _jasminewind.messages import runs

# A caller is answered within this time, also if an entry has not confirmed.
# Callers wait 4 s.
REPLY_TIMEOUT_S = 0.5
# A cancellation is sent again if it is not confirmed within this time, which
# doubles up to the limit while an entry confirms nothing.
RESEND_S = 0.2
MAX_RESEND_S = 1.0
# Cancellations are delivered for as long as a submission of the job may be
# held by an entry or still arrive.
RETENTION_S = ended_jobs.RETENTION_S
# An entry that has confirmed nothing for this long counts as gone: no caller
# waits for it any more. Cancellations are still sent to it.
GONE_AFTER_S = 10.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unconfirmed:
    """A cancellation that an entry has not confirmed."""

    cancelled_s: float
    sent_s: float


class AwaitedJobs:
    """How many entries may still confirm the cancellation of each job.

    Looking at every entry for each confirmation would cost the square of
    their number for one cancellation.
    """

    def __init__(self) -> None:
        self.counts: collections.Counter[str] = collections.Counter()

    def __contains__(self, job: str) -> bool:
        return job in self.counts

    def add(self, job: str) -> None:
        """Count one more entry."""
        self.counts[job] += 1

    def remove(self, job: str) -> None:
        """Count one entry less."""
        self.counts[job] -= 1
        if not self.counts[job]:
            del self.counts[job]


@dataclasses.dataclass
class Peer:
    """Another entry, and the cancellations that it has not confirmed.

    ``unconfirmed`` is ordered by the time of the last message. Messages were
    lost if ``has_lost`` is set. ``silent_since_s`` is when the first message
    was sent that the entry has not confirmed, infinite if there is none.
    ``awaited`` counts the entry for each of them unless it is gone.
    """

    entry: registry.EntryAddress
    awaited: AwaitedJobs
    unconfirmed: dict[str, Unconfirmed] = dataclasses.field(
        default_factory=dict
    )
    counts_as_gone: bool = False
    has_lost: bool = False
    silent_since_s: float = float("inf")
    resend_s: float = RESEND_S
    next_resend_s: float = 0.0

    def is_gone(self, now_s: float) -> bool:
        """Tell whether the entry has confirmed nothing for long."""
        return now_s - self.silent_since_s > GONE_AFTER_S

    def add(self, job: str, unconfirmed: Unconfirmed) -> None:
        """Add a cancellation as the last one."""
        self.drop(job)
        self.unconfirmed[job] = unconfirmed
        if not self.counts_as_gone:
            self.awaited.add(job)

    def drop(self, job: str) -> None:
        """Drop a cancellation, if it is there."""
        dropped = self.unconfirmed.pop(job, None)
        if dropped is not None and not self.counts_as_gone:
            self.awaited.remove(job)

    def set_gone(self, is_gone: bool) -> None:
        """Set whether callers still wait for the entry."""
        if is_gone == self.counts_as_gone:
            return
        self.counts_as_gone = is_gone
        count = self.awaited.remove if is_gone else self.awaited.add
        for job in self.unconfirmed:
            count(job)

    def record_sent(self, job: str, cancelled_s: float, now_s: float) -> None:
        """Record that the entry is told of a cancellation now."""
        self.silent_since_s = min(self.silent_since_s, now_s)
        self.add(job, Unconfirmed(cancelled_s=cancelled_s, sent_s=now_s))

    def record_confirmation(self, job: str, now_s: float) -> None:
        """Record that the entry has confirmed a cancellation."""
        self.set_gone(False)
        self.drop(job)
        self.resend_s = RESEND_S
        self.next_resend_s = now_s + RESEND_S
        self.silent_since_s = now_s if self.unconfirmed else float("inf")

    def oldest(self, now_s: float) -> str | None:
        """Return the cancellation to repeat first; drop expired ones."""
        for job, unconfirmed in list(self.unconfirmed.items()):
            if now_s - unconfirmed.cancelled_s < RETENTION_S:
                return job
            self.drop(job)
        self.silent_since_s = float("inf")
        return None


@dataclasses.dataclass
class PendingReply:
    """Callers that wait for the entries to confirm a cancellation."""

    tickets: list[int]
    deadline_s: float


class Cancellation(core.StateMachine):
    """Tells every other entry of each cancelled job until it confirms.

    Any entry may own the job, and a copy of its submission may still arrive
    at any. An entry that is paused, or whose link is lost, is told when it is
    back.
    """

    TICK_S = 0.1

    def __init__(self, *, jobs: owner.JobOwner) -> None:
        self.jobs = jobs
        self.peers: dict[str, Peer] = {}
        self.awaited = AwaitedJobs()
        self.has_entries = False
        # The jobs cancelled at this entry, and when.
        self.recent: dict[str, float] = {}
        # By job.
        self.pending: dict[str, PendingReply] = {}
        self.next_ticket = 1
        # Jobs that were owned here when they were cancelled, and when. A
        # request that is repeated gets the same reply.
        self.cancelled_here: dict[str, float] = {}

    def handles(self) -> typing.Iterable[type]:
        """Return the types of messages between entries."""
        return (runs.CancelJob, runs.JobCancelled)

    def set_entries(
        self, entries: collections.abc.Iterable[registry.EntryAddress]
    ) -> None:
        """Set the other entries; what one has not confirmed is kept.

        A new one is told of the recent cancellations with the next tick.
        """
        self.has_entries = True
        found = {entry.name: entry for entry in entries}
        for name in [name for name in self.peers if name not in found]:
            self.peers.pop(name).set_gone(True)
        for name, entry in found.items():
            if name not in self.peers:
                peer = self.peers[name] = Peer(entry, self.awaited)
                for job, at_s in self.recent.items():
                    peer.add(job, Unconfirmed(cancelled_s=at_s, sent_s=0.0))
            self.peers[name].entry = entry

    # Requests

    def cancel(self, job: str, now: core.Instant) -> tuple[int, core.Actions]:
        """Cancel a job on any entry; return a ticket for the reply."""
        ticket = self.next_ticket
        self.next_ticket += 1
        requested = self.cancel_here(job, "cancelled by its caller", now)
        self.recent.pop(job, None)
        self.recent[job] = now.mono_s
        for peer in self.peers.values():
            requested.append(self.request(peer, job, now.mono_s, now))
        pending = self.pending.setdefault(
            job, PendingReply([], now.mono_s + REPLY_TIMEOUT_S)
        )
        pending.tickets.append(ticket)
        if job in self.cancelled_here:
            requested += self.reply(job, actions.CancelOutcome.CANCELLED)
        return ticket, requested + self.reply_unless_awaited(job)

    def cancel_here(
        self, job: str, reason: str, now: core.Instant
    ) -> core.Actions:
        """Cancel a job at this entry, now or when it arrives."""
        if self.jobs.state(job) is not None:
            self.cancelled_here[job] = now.mono_s
        return self.jobs.cancel(job, reason, now)

    def request(
        self, peer: Peer, job: str, cancelled_s: float, now: core.Instant
    ) -> core.Action:
        """Return the message that tells an entry of a cancellation."""
        peer.record_sent(job, cancelled_s, now.mono_s)
        return core.Send(
            to=members.UNNAMED,
            address=peer.entry.address,
            message=runs.CancelJob(job=job),
        )

    def repeat(self, peer: Peer, job: str, now: core.Instant) -> core.Action:
        """Return the message that repeats an unconfirmed cancellation."""
        cancelled_s = peer.unconfirmed[job].cancelled_s
        return self.request(peer, job, cancelled_s, now)

    # Messages

    def on_message(
        self, sender: members.NodeId, message: object, now: core.Instant
    ) -> core.Actions:
        """Handle the request or the confirmation of another entry."""
        if isinstance(message, runs.CancelJob):
            requested = self.cancel_here(
                message.job, f"{sender} asked to cancel it", now
            )
            reply = runs.JobCancelled(
                job=message.job, known=message.job in self.cancelled_here
            )
            return [*requested, actions.send(sender, reply)]
        if isinstance(message, runs.JobCancelled):
            return self.on_confirmation(sender, message, now)
        return []

    def on_confirmation(
        self,
        sender: members.NodeId,
        message: runs.JobCancelled,
        now: core.Instant,
    ) -> core.Actions:
        """Handle the confirmation of a cancellation."""
        requested: core.Actions = []
        peer = self.peers.get(sender.name)
        if peer is not None:
            peer.record_confirmation(message.job, now.mono_s)
            if peer.has_lost:
                peer.has_lost = False
                jobs = list(peer.unconfirmed)
                requested += [self.repeat(peer, job, now) for job in jobs]
        if message.known:
            requested += self.reply(
                message.job, actions.CancelOutcome.CANCELLED
            )
        return requested + self.reply_unless_awaited(message.job)

    # Replies to callers

    def reply(self, job: str, outcome: actions.CancelOutcome) -> core.Actions:
        """Return the replies to all callers that cancelled a job."""
        pending = self.pending.pop(job, None)
        if pending is None:
            return []
        return [
            actions.CancelReply(ticket=ticket, outcome=outcome)
            for ticket in pending.tickets
        ]

    def reply_unless_awaited(self, job: str) -> core.Actions:
        """Reply that no entry knows a job once all others have confirmed."""
        if job not in self.pending or self.is_awaited(job):
            return []
        return self.reply(job, actions.CancelOutcome.UNKNOWN)

    def is_awaited(self, job: str) -> bool:
        """Tell whether an entry may still confirm a cancellation."""
        return not self.has_entries or job in self.awaited

    def is_idle(self, now: core.Instant) -> bool:
        """Tell whether nobody waits for a reply or a cancellation."""
        return not self.pending and all(
            peer.is_gone(now.mono_s) or not peer.unconfirmed
            for peer in self.peers.values()
        )

    def on_tick(self, now: core.Instant) -> core.Actions:
        """Repeat what is not confirmed, and answer callers in time."""
        requested: core.Actions = []
        for peer in self.peers.values():
            job = peer.oldest(now.mono_s)
            peer.set_gone(peer.is_gone(now.mono_s))
            if job is None:
                continue
            due_s = max(
                peer.unconfirmed[job].sent_s + RESEND_S, peer.next_resend_s
            )
            if now.mono_s >= due_s:
                # One message shows whether the entry is back; the others are
                # repeated then.
                peer.has_lost = True
                peer.resend_s = min(2 * peer.resend_s, MAX_RESEND_S)
                peer.next_resend_s = now.mono_s + peer.resend_s
                requested.append(self.repeat(peer, job, now))
        drop_older(self.recent, now.mono_s - RETENTION_S)
        drop_older(self.cancelled_here, now.mono_s - RETENTION_S)
        for job, pending in list(self.pending.items()):
            if now.mono_s >= pending.deadline_s:
                requested += self.reply(job, actions.CancelOutcome.PENDING)
        return requested


def drop_older(times_s: dict[str, float], limit_s: float) -> None:
    """Remove the first items until one is not older than the limit."""
    for key, time_s in list(times_s.items()):
        if time_s >= limit_s:
            break
        del times_s[key]
