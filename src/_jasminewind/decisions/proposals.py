"""Proposed changes of the configuration, written by compare-and-set."""

import dataclasses
import enum

import msgspec

from _jasminewind import configuration
from _jasminewind import members
from _jasminewind.decisions import core

PROPOSAL_TIMEOUT_S = 10.0
RETRY_PERIOD_S = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class Proposal:
    """A new configuration that replaces version ``expected_version``.

    ``change_id`` is chosen by the caller and makes retries idempotent. The
    version and the change ids of ``new_config`` are set when it is written.
    """

    change_id: str
    expected_version: int
    new_config: configuration.Configuration


class ProposalStatus(enum.StrEnum):
    """How a proposal ended.

    ``NOT_WRITTEN`` guarantees that the change has not taken effect and never
    will. After ``UNKNOWN`` it may have or may still do so; the caller learns
    the outcome by sending the same change id again.
    """

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    NOT_WRITTEN = "not_written"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, kw_only=True)
class ProposalResult(core.Action):
    """Return the result of a proposal to the caller that holds ``ticket``.

    ``config`` is the accepted configuration, or the one that won a conflict.
    """

    ticket: int
    change_id: str
    status: ProposalStatus
    config: configuration.Configuration
    reason: str = ""


class Stage(enum.StrEnum):
    """Current step of a proposal."""

    PAUSE = "pause"
    READING = "reading"
    WRITING = "writing"
    PROPAGATING = "spreading"


@dataclasses.dataclass(kw_only=True)
class PendingProposal:
    """A proposal in progress. Times are in monotonic seconds.

    ``may_be_written`` is set once a write may have taken effect. A later write
    that certainly failed does not clear it.
    """

    ticket: int
    tag: str
    proposal: Proposal
    deadline_s: float
    stage: Stage = Stage.PAUSE
    next_attempt_s: float = 0.0
    may_be_written: bool = False
    version: int = 0

    def new_config(
        self, row: configuration.Configuration
    ) -> configuration.Configuration:
        """Return the configuration to write over ``row``."""
        kept = row.change_ids + (self.proposal.change_id,)
        return dataclasses.replace(
            self.proposal.new_config,
            version=row.version + 1,
            change_ids=kept[-configuration.CHANGE_IDS_KEPT :],
        )

    def result(
        self,
        status: ProposalStatus,
        config: configuration.Configuration,
        reason: str,
    ) -> ProposalResult:
        """Return the action that reports the result to the caller."""
        return ProposalResult(
            ticket=self.ticket,
            change_id=self.proposal.change_id,
            status=status,
            config=config,
            reason=reason,
        )

    # Steps

    def read(self) -> core.ReadTable:
        """Read the row that the proposal would replace."""
        self.stage = Stage.READING
        return core.ReadTable(tag=self.tag, keys=(configuration.CONFIG_KEY,))

    def write(
        self, row: configuration.Configuration, row_version: int
    ) -> core.WriteTable:
        """Write over ``row``.

        Repeating the write is safe, because it takes effect only if the row
        still has the version that was read.
        """
        self.stage = Stage.WRITING
        new = self.new_config(row)
        return core.WriteTable(
            tag=self.tag,
            key=configuration.CONFIG_KEY,
            expected_version=row_version,
            value=msgspec.json.encode(new).decode(),
        )

    def pause(self, now: core.Instant) -> None:
        """Wait before the next read."""
        self.stage = Stage.PAUSE
        self.next_attempt_s = now.mono_s + RETRY_PERIOD_S

    def status_from(
        self, row: configuration.Configuration
    ) -> ProposalStatus | None:
        """Return the status that the row proves, ``None`` to write now.

        ``ACCEPTED`` means here only that the write took effect.
        """
        if self.proposal.change_id in row.change_ids:
            return ProposalStatus.ACCEPTED
        version_gap = row.version - self.proposal.expected_version
        if version_gap == 0:
            return None
        # After that many later changes the row no longer shows the change id,
        # even if it was written.
        if version_gap > configuration.CHANGE_IDS_KEPT and self.may_be_written:
            return ProposalStatus.UNKNOWN
        return ProposalStatus.CONFLICT

    def expire(self, config: configuration.Configuration) -> ProposalResult:
        """Return the result of a proposal that has timed out."""
        if self.stage is Stage.PROPAGATING:
            return self.result(
                ProposalStatus.UNKNOWN,
                config,
                f"written as version {self.version}, but not yet confirmed "
                "by a majority of the entries; send the same change id "
                "again to learn its outcome",
            )
        if self.may_be_written or self.stage is Stage.WRITING:
            return self.result(
                ProposalStatus.UNKNOWN,
                config,
                "the outcome of the table write is not known; send the same "
                "change id again to learn its outcome",
            )
        return self.result(
            ProposalStatus.NOT_WRITTEN,
            config,
            "the table cannot be reached and nothing was changed; propose "
            "the change again",
        )


def has_majority(
    *,
    acked_versions: dict[str, int],
    version: int,
    contacts: tuple[members.Contact, ...],
    majority: int,
) -> bool:
    """Return whether a majority of the entries has applied ``version``."""
    count = sum(
        1 for c in contacts if acked_versions.get(c.node.name, 0) >= version
    )
    return count >= majority
