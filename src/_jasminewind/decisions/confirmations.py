"""Rounds in which entries confirm each other's configuration version."""

import dataclasses

from _jasminewind import members

MAX_ROUNDS = 4


@dataclasses.dataclass(kw_only=True)
class Round:
    """One round of questions to the other entries."""

    began_s: float
    version: int
    confirmed: set[str]


class Confirmations:
    """Counts confirmations; each counts from the moment it was asked."""

    def __init__(self) -> None:
        self.rounds: dict[int, Round] = {}
        self.next_nonce = 1

    def start_round(self, version: int, now_s: float) -> int:
        """Begin a round for ``version`` and return its nonce."""
        nonce = self.next_nonce
        self.next_nonce += 1
        self.rounds[nonce] = Round(
            began_s=now_s, version=version, confirmed=set()
        )
        for old in sorted(self.rounds)[:-MAX_ROUNDS]:
            del self.rounds[old]
        return nonce

    def add(self, node: members.NodeId, version: int, nonce: int) -> None:
        """Take the answer of an entry to the round ``nonce``."""
        found = self.rounds.get(nonce)
        if found is not None and version == found.version:
            found.confirmed.add(node.name)

    def confirmed_s(
        self, *, version: int, names: frozenset[str], needed: int
    ) -> float:
        """Return when the latest round began that ``needed`` confirmed.

        A round for a lower version counts too: it shows that nothing
        above that version was accepted when it began. Minus infinity is
        returned when there is none.
        """
        times = [
            r.began_s
            for r in self.rounds.values()
            if r.version <= version and len(r.confirmed & names) >= needed
        ]
        return max(times, default=float("-inf"))
