"""The registry of entries in the platform's table."""

import dataclasses

import msgspec

from _jasminewind import errors
from _jasminewind import members
from _jasminewind.decisions import core

PREFIX = "entry/"
REFRESH_PERIOD_S = 10.0
RETRY_PERIOD_S = 1.0
EXPIRES_S = 60.0
# A row that nobody refreshed for this long is deleted by another entry.
DELETE_AFTER_S = 120.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntryRow:
    """Row by which an entry registers itself.

    ``beat`` rises with every refresh of one incarnation.
    """

    contact: members.Contact
    beat: int


@dataclasses.dataclass(kw_only=True)
class SeenRow:
    """A registry row and when this process first saw its version."""

    row: EntryRow
    version: int
    changed_s: float


ROW_DECODER = msgspec.json.Decoder(EntryRow)


class Registry:
    """Registered entries as one entry sees them.

    A row expires when its version has not changed for 60 s of the
    reader's own clock, so that clocks need not agree. Time without a
    successful read does not count, because nobody can refresh a row in an
    outage of the table.
    """

    def __init__(self, *, member: members.Member, tag: str) -> None:
        self.member = member
        self.tag = tag
        self.seen: dict[str, SeenRow] = {}
        self.own_version = 0
        self.beat = 0
        self.writing = False
        self.next_write_s = 0.0
        self.write_began_s = 0.0
        self.registered_s: float | None = None
        self.last_read_s: float | None = None

    def contacts(self) -> tuple[members.Contact, ...]:
        """Return the registered entries, this one included, by name."""
        found = {
            s.row.contact.node.name: s.row.contact
            for s in self.seen.values()
            if not self._is_expired(s)
        }
        found[self.member.node.name] = members.Contact(
            node=self.member.node, address=self.member.address
        )
        return tuple(found[name] for name in sorted(found))

    def others(self) -> tuple[members.Contact, ...]:
        """Return the registered entries other than this one."""
        name = self.member.node.name
        return tuple(c for c in self.contacts() if c.node.name != name)

    def majority(self) -> int:
        """Return how many entries are a majority of the registered."""
        return len(self.contacts()) // 2 + 1

    def may_have_expired(self, now: core.Instant) -> bool:
        """Tell whether others may no longer count this entry."""
        if self.registered_s is None:
            return True
        return now.mono_s - self.registered_s >= EXPIRES_S

    def on_read(
        self, rows: tuple[core.TableRow, ...], now: core.Instant
    ) -> core.Actions:
        """Take all registry rows of a successful read."""
        self._skip_outage(now)
        present = set()
        for row in rows:
            if not row.key.startswith(PREFIX) or row.version == 0:
                continue
            present.add(row.key)
            self._on_row(row, now)
        for key in list(self.seen):
            if key not in present:
                del self.seen[key]
        if self.own_key() not in present and not self.writing:
            self.own_version = 0
        return self._delete_expired(now)

    def on_tick(self, now: core.Instant) -> core.Actions:
        """Write the own row after the first read and every 10 s."""
        if self.last_read_s is None or self.writing:
            return []
        if now.mono_s < self.next_write_s:
            return []
        self.writing = True
        self.write_began_s = now.mono_s
        self.beat += 1
        row = EntryRow(
            contact=members.Contact(
                node=self.member.node, address=self.member.address
            ),
            beat=self.beat,
        )
        return [
            core.WriteTable(
                tag=self.tag,
                key=self.own_key(),
                expected_version=self.own_version,
                value=msgspec.json.encode(row).decode(),
            )
        ]

    def on_written(
        self, reply: core.TableWriteReply, now: core.Instant
    ) -> None:
        """Take the outcome of a registry write."""
        if reply.key != self.own_key():
            return
        self.writing = False
        if reply.error is None:
            self.own_version = reply.version
            self.registered_s = self.write_began_s
            self.next_write_s = self.write_began_s + REFRESH_PERIOD_S
            return
        # A conflict or an unknown outcome is settled by the next read,
        # which tells the version of the own row.
        self.next_write_s = now.mono_s + RETRY_PERIOD_S
        if reply.error.failure is errors.TableFailure.CONFLICT:
            self.next_write_s = now.mono_s + 2 * RETRY_PERIOD_S

    def own_key(self) -> str:
        """Return the key of this entry's row."""
        return PREFIX + self.member.node.name

    def _on_row(self, row: core.TableRow, now: core.Instant) -> None:
        if row.key == self.own_key() and not self.writing:
            self.own_version = row.version
        known = self.seen.get(row.key)
        if known is not None and known.version == row.version:
            return
        try:
            value = ROW_DECODER.decode(row.value)
        except msgspec.MsgspecError:
            return
        self.seen[row.key] = SeenRow(
            row=value, version=row.version, changed_s=now.mono_s
        )

    def _skip_outage(self, now: core.Instant) -> None:
        """Do not count time between reads beyond two periods."""
        if self.last_read_s is not None:
            gap_s = now.mono_s - self.last_read_s - REFRESH_PERIOD_S
            if gap_s > 0:
                for seen in self.seen.values():
                    seen.changed_s += gap_s
        self.last_read_s = now.mono_s

    def _is_expired(self, seen: SeenRow) -> bool:
        if self.last_read_s is None:
            return False
        return self.last_read_s - seen.changed_s >= EXPIRES_S

    def _delete_expired(self, now: core.Instant) -> core.Actions:
        actions: core.Actions = []
        for key, seen in self.seen.items():
            if key == self.own_key():
                continue
            if now.mono_s - seen.changed_s >= DELETE_AFTER_S:
                actions.append(
                    core.WriteTable(
                        tag=self.tag,
                        key=key,
                        expected_version=seen.version,
                        value=None,
                    )
                )
        return actions
