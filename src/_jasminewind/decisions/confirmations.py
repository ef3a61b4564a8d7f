"""Quorum reads: rounds in which entries confirm a config version."""

import dataclasses

from _jasminewind import members

MAX_ROUNDS = 4


@dataclasses.dataclass(kw_only=True)
class Round:
    """One round of requests to the other entries."""

    began_s: float
    version: int
    confirmed: set[str]


class Confirmations:
    """Counts the confirmations of the latest rounds.

    A confirmation is valid as of the time of the request, not of the reply.
    """

    def __init__(self) -> None:
        self.rounds: dict[int, Round] = {}
        self.next_nonce = 1

    def start_round(self, version: int, now_s: float) -> int:
        """Start a round for ``version`` and return its nonce."""
        nonce = self.next_nonce
        self.next_nonce += 1
        self.rounds[nonce] = Round(
            began_s=now_s, version=version, confirmed=set()
        )
        for old in sorted(self.rounds)[:-MAX_ROUNDS]:
            del self.rounds[old]
        return nonce

    def add(self, node: members.NodeId, version: int, nonce: int) -> None:
        """Add the reply of an entry to the round ``nonce``."""
        found = self.rounds.get(nonce)
        if found is not None and version == found.version:
            found.confirmed.add(node.name)

    def confirmed_s(
        self, *, version: int, names: frozenset[str], needed: int
    ) -> float:
        """Return the start of the latest round with ``needed`` replies.

        A round for a lower version counts too: it proves that no version
        above that one had been accepted when it started. Returns minus
        infinity if there is no such round.
        """
        times = [
            r.began_s
            for r in self.rounds.values()
            if r.version <= version and len(r.confirmed & names) >= needed
        ]
        return max(times, default=float("-inf"))
