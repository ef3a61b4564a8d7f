"""An entry's view of the shard map and of the members of all cells."""

import bisect
import collections.abc
import dataclasses
import random

from _jasminewind import configuration
from _jasminewind import ids
from _jasminewind import members as processes
from _jasminewind import shards
from _jasminewind.decisions import cells
from _jasminewind.decisions import core
from _jasminewind.messages import membership
from _jasminewind.messages import ownership

# A reporter sends at least every 3 s; after three silent periods its report is
# out of date.
REPORT_EXPIRES_S = 10.0
REPORT_DELETED_AFTER_S = 600.0
JOINER_EXPIRES_S = 30.0
REQUEST_PERIOD_S = 1.0
# Updating one name searches all reports, 188 at the target size; above this
# number of names a rebuild of the whole view is cheaper.
MAX_INCREMENTAL_UPDATES = 500


@dataclasses.dataclass(kw_only=True)
class CellReport:
    """State of a cell according to one reporter.

    ``complete`` is false before the first full digest and after a missed one.
    """

    reporter: processes.NodeId
    cell: int
    sequence: int
    last_heard_s: float
    records: dict[str, processes.Member]
    rows: dict[int, shards.ShardRow]
    complete: bool = False
    expired: bool = False
    last_request_s: float = float("-inf")


@dataclasses.dataclass(frozen=True, kw_only=True)
class JoiningAgent:
    """An agent that joined at this entry and is in no report yet."""

    record: processes.Member
    joined_s: float


class Directory(core.StateMachine):
    """Live members and shard owners, merged from the reports of all cells."""

    def __init__(
        self, *, member: processes.Member, rng: random.Random
    ) -> None:
        self.member = member
        self.rng = rng
        self.config = configuration.NO_CONFIGURATION
        self.reports: dict[processes.NodeId, CellReport] = {}
        self.joiners: dict[str, JoiningAgent] = {}
        self.rows: dict[int, shards.ShardRow] = {}
        self.entries: tuple[processes.Contact, ...] = ()
        self.outstanding: dict[processes.NodeId, int] = {}
        self.cached_members: dict[str, processes.Member] | None = None
        self.cached_view: tuple[processes.Member, ...] = ()
        self.changed_names: set[str] = set()

    def handles(self) -> collections.abc.Iterable[type]:
        """Return the messages by which agents report members and shards."""
        return (
            membership.CellDigest,
            membership.DigestBeat,
            membership.Join,
            membership.Leave,
            ownership.OwnerAnnounce,
        )

    # Queries

    def has_complete_report(self) -> bool:
        """Return whether a reporter has sent the members of its cell."""
        return any(report.complete for report in self.reports.values())

    def members(self) -> tuple[processes.Member, ...]:
        """Return the live members of every cell, by name."""
        self._members_by_name()
        return self.cached_view

    def live_member(self, node: processes.NodeId) -> processes.Member | None:
        """Return the record of a live incarnation."""
        found = self._members_by_name().get(node.name)
        return found if found and found.node == node else None

    def is_alive(self, node: processes.NodeId) -> bool:
        """Return whether a reporter lists this incarnation as not suspect."""
        found = self.live_member(node)
        return found is not None and not found.suspect

    def shard_of(self, work_id: str) -> int:
        """Return the shard of an id under the current configuration."""
        return ids.shard_of(work_id, shard_count=self.config.shard_count)

    def owner_of(self, work_id: str) -> shards.Interval | None:
        """Return the current or earlier interval that contains an id.

        Ids above the ceiling of the current interval belong to its owner too,
        because it raises the ceiling by promises that the row does not show.
        """
        row = self.rows.get(self.shard_of(work_id))
        if row is None:
            return None
        time_ms = ids.time_ms(work_id)
        if time_ms > row.current.floor_ms:
            if row.closed and time_ms > row.current.ceiling_ms:
                return None
            return row.current
        return next((i for i in row.earlier if i.covers(time_ms)), None)

    def later_owners_of(self, work_id: str) -> tuple[shards.Interval, ...]:
        """Return the intervals that lie above an id, newest epoch first.

        Their owners cannot start the id, but one of them may have its record:
        a leaving owner hands over its finished records to the next one.
        """
        row = self.rows.get(self.shard_of(work_id))
        if row is None:
            return ()
        time_ms = ids.time_ms(work_id)
        known = (row.current, *row.earlier)
        above = (i for i in known if time_ms <= i.floor_ms)
        return tuple(sorted(above, key=lambda i: i.epoch, reverse=True))

    def least_loaded_shard(self, now: core.Instant) -> int | None:
        """Return the shard whose live owner has the least outstanding work.

        Ties are broken at random. ``None`` means that no shard can accept
        new work.
        """
        del now
        best: list[int] = []
        best_load: float = float("inf")
        for shard in range(self.config.shard_count):
            load = self.load_of(shard)
            if load is None or load > best_load:
                continue
            if load < best_load:
                best = []
                best_load = load
            best.append(shard)
        return self.rng.choice(best) if best else None

    def load_of(self, shard: int) -> float | None:
        """Return the work outstanding at the owner of ``shard``.

        ``None`` means that the shard cannot accept new work.
        """
        row = self.rows.get(shard)
        if row is None or row.closed:
            return None
        owner = self.live_member(row.current.owner)
        if owner is None or owner.suspect:
            return None
        if owner.state is not processes.State.SERVING:
            return None
        return self.outstanding.get(owner.node, 0)

    def adjust_outstanding(self, node: processes.NodeId, change: int) -> None:
        """Change the count of work sent by this entry and not yet answered."""
        count = self.outstanding.get(node, 0) + change
        if count > 0:
            self.outstanding[node] = count
        else:
            self.outstanding.pop(node, None)

    # Events

    def set_entries(self, entries: tuple[processes.Contact, ...]) -> None:
        """Set the registered entries that a ``Welcome`` lists."""
        self.entries = entries

    def on_config(
        self, config: configuration.Configuration, now: core.Instant
    ) -> core.Actions:
        """Adopt the number of shards and cells."""
        if config.cell_count != self.config.cell_count:
            self.reports.clear()
            self._invalidate_view()
        self.config = config
        return []

    def on_message(
        self, sender: processes.NodeId, message: object, now: core.Instant
    ) -> core.Actions:
        """Handle a digest, a shard owner or an agent that joins or leaves."""
        match message:
            case membership.CellDigest():
                return self._on_digest(message, now)
            case membership.DigestBeat():
                return self._on_digest_beat(sender, message, now)
            case membership.Join():
                return self._on_join(sender, message, now)
            case membership.Leave():
                self._on_leave(message.node)
            case ownership.OwnerAnnounce():
                self._merge_row(message.row)
        return []

    def on_tick(self, now: core.Instant) -> core.Actions:
        """Expire reports and joining agents that are too old."""
        for node, report in list(self.reports.items()):
            silence_s = now.mono_s - report.last_heard_s
            if silence_s >= REPORT_EXPIRES_S and not report.expired:
                report.expired = True
                self._invalidate_view()
            if silence_s >= REPORT_DELETED_AFTER_S:
                del self.reports[node]
        for name, joiner in list(self.joiners.items()):
            if now.mono_s - joiner.joined_s >= JOINER_EXPIRES_S:
                del self.joiners[name]
        return []

    def _on_digest(
        self, digest: membership.CellDigest, now: core.Instant
    ) -> core.Actions:
        for row in digest.rows:
            self._merge_row(row)
        report = self._touch_report(digest.reporter, digest.cell, now)
        if digest.full:
            if digest.sequence < report.sequence:
                return []
            report.records.clear()
            report.rows.clear()
            report.complete = True
        elif digest.sequence <= report.sequence:
            return []
        elif report.sequence + 1 != digest.sequence:
            report.complete = False
        report.sequence = digest.sequence
        self._merge_digest(report, digest)
        if not digest.full and self._hash(report) != digest.digest_hash:
            report.complete = False
        if report.complete:
            return []
        return self._request(report, now)

    def _merge_digest(
        self, report: CellReport, digest: membership.CellDigest
    ) -> None:
        for record in digest.records:
            report.records[record.node.name] = record
            self.joiners.pop(record.node.name, None)
        for node in digest.gone:
            known = report.records.get(node.name)
            if known and known.node == node:
                del report.records[node.name]
        for row in digest.rows:
            report.rows[row.shard] = row
        if digest.full or digest.gone:
            self._invalidate_view()
        else:
            self.changed_names.update(r.node.name for r in digest.records)

    def _touch_report(
        self, reporter: processes.NodeId, cell: int, now: core.Instant
    ) -> CellReport:
        report = self.reports.get(reporter)
        if report is None or report.cell != cell:
            report = CellReport(
                reporter=reporter,
                cell=cell,
                sequence=-1,
                last_heard_s=now.mono_s,
                records={},
                rows={},
            )
            self.reports[reporter] = report
        report.last_heard_s = now.mono_s
        if report.expired:
            report.expired = False
            self._invalidate_view()
        return report

    def _on_digest_beat(
        self,
        sender: processes.NodeId,
        beat: membership.DigestBeat,
        now: core.Instant,
    ) -> core.Actions:
        report = self._touch_report(sender, beat.cell, now)
        if beat.seq < report.sequence:
            return []
        if beat.seq != report.sequence or beat.hash != self._hash(report):
            report.complete = False
        if report.complete:
            return []
        return self._request(report, now)

    def _request(self, report: CellReport, now: core.Instant) -> core.Actions:
        """Request the full digest of a reporter, at most once a second."""
        if now.mono_s - report.last_request_s < REQUEST_PERIOD_S:
            return []
        record = self._record_of(report.reporter)
        report.last_request_s = now.mono_s
        return [
            core.Send(
                to=report.reporter,
                address=record.address if record else processes.NO_ADDRESS,
                message=membership.DigestRequest(cell=report.cell),
            )
        ]

    def _record_of(self, node: processes.NodeId) -> processes.Member | None:
        for report in self.reports.values():
            record = report.records.get(node.name)
            if record and record.node == node:
                return record
        joiner = self.joiners.get(node.name)
        if joiner and joiner.record.node == node:
            return joiner.record
        return None

    def _on_join(
        self,
        sender: processes.NodeId,
        message: membership.Join,
        now: core.Instant,
    ) -> core.Actions:
        # The number of cells is unknown without a configuration, and a wrong
        # one would assign the agents to wrong cells.
        if self.config.version == 0:
            return []
        record = message.member
        known = self.live_member(record.node)
        if known is None:
            self.joiners[record.node.name] = JoiningAgent(
                record=record, joined_s=now.mono_s
            )
        cell = cells.cell_of(
            record.node.name, cell_count=self.config.cell_count
        )
        records = self._cell_members(cell)
        nodes = {r.node for r in records} | {record.node}
        if message.view_hash == cells.names_hash(nodes):
            records = ()
        welcome = membership.Welcome(
            cell=cell,
            cell_count=self.config.cell_count,
            records=records,
            entries=self.entries or (self._contact(),),
        )
        return [core.Send(to=sender, address=record.address, message=welcome)]

    def _contact(self) -> processes.Contact:
        return processes.Contact(
            node=self.member.node, address=self.member.address
        )

    def _cell_members(self, cell: int) -> tuple[processes.Member, ...]:
        found = {m.node.name: m for m in self.members()}
        for joiner in self.joiners.values():
            record = joiner.record
            known = found.get(record.node.name)
            if known is None or known.node < record.node:
                found[record.node.name] = record
        count = self.config.cell_count
        return tuple(
            m
            for m in found.values()
            if cells.cell_of(m.node.name, cell_count=count) == cell
        )

    def _on_leave(self, node: processes.NodeId) -> None:
        joiner = self.joiners.get(node.name)
        if joiner and joiner.record.node == node:
            del self.joiners[node.name]
        for report in self.reports.values():
            known = report.records.get(node.name)
            if known and known.node == node:
                leaving = dataclasses.replace(
                    known, state=processes.State.LEAVING
                )
                report.records[node.name] = leaving
                self.changed_names.add(node.name)

    def _merge_row(self, row: shards.ShardRow) -> None:
        if cells.is_newer_row(row, self.rows.get(row.shard)):
            self.rows[row.shard] = row

    def _hash(self, report: CellReport) -> int:
        return cells.view_hash(report.records.values(), report.rows.values())

    def _invalidate_view(self) -> None:
        self.cached_members = None

    def _best_record(self, name: str) -> processes.Member | None:
        """Return the preferred record of a name among all reports."""
        best: processes.Member | None = None
        for report in self.reports.values():
            record = None if report.expired else report.records.get(name)
            if record and (best is None or _is_preferred(record, best)):
                best = record
        return best

    def _update_view(self, found: dict[str, processes.Member]) -> bool:
        """Update the changed names; return whether that was sufficient.

        This avoids a rebuild, which takes 40 ms at 12,000 members. Only when
        a member appears or moves is one needed, because that can hide or
        reveal another member at the same address.
        """
        view = list(self.cached_view)
        for name in self.changed_names:
            known = found.get(name)
            best = self._best_record(name)
            if known is None or best is None:
                return False
            if best.address != known.address:
                return False
            if best.node.incarnation < known.node.incarnation:
                return False
            found[name] = best
            # The view is sorted by name, and no name was added or removed.
            position = bisect.bisect_left(
                view, name, key=lambda m: m.node.name
            )
            view[position] = best
        self.cached_view = tuple(view)
        return True

    def _members_by_name(self) -> dict[str, processes.Member]:
        """Return the preferred record of each name in the valid reports.

        A member that one reporter hears from counts as alive even if another
        reporter suspects it.
        """
        if self.cached_members is not None and self.changed_names:
            too_many = len(self.changed_names) > MAX_INCREMENTAL_UPDATES
            if too_many or not self._update_view(self.cached_members):
                self.cached_members = None
        self.changed_names.clear()
        if self.cached_members is None:
            found: dict[str, processes.Member] = {}
            for report in self.reports.values():
                if report.expired:
                    continue
                for name, record in report.records.items():
                    known = found.get(name)
                    if known is None or _is_preferred(record, known):
                        found[name] = record
            found = _without_replaced(found)
            self.cached_members = found
            self.cached_view = tuple(found[name] for name in sorted(found))
        return self.cached_members


def _is_preferred(record: processes.Member, known: processes.Member) -> bool:
    """Return whether ``record`` supersedes ``known`` of the same name."""
    return (
        record.node.incarnation,
        not record.suspect,
        record.sequence,
    ) > (known.node.incarnation, not known.suspect, known.sequence)


def _without_replaced(
    found: dict[str, processes.Member],
) -> dict[str, processes.Member]:
    """Remove members whose address is used by a later incarnation."""
    latest: dict[processes.Address, processes.Member] = {}
    for record in found.values():
        known = latest.get(record.address)
        if known is None or known.node.incarnation < record.node.incarnation:
            latest[record.address] = record
    return {m.node.name: m for m in latest.values()}
