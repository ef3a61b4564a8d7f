"""State of failure domains: which of them are evacuated."""

from _jasminewind.messages import runs

# Limits on what a message may name; the table has the same ones.
MAX_DOMAIN_CHARS = 200
MAX_VERSION = 2**63 - 1


def precedence(state: runs.DomainState) -> tuple[int, bool]:
    """Return the sort key of states: the highest one takes precedence.

    Pages of a snapshot may be read while a row changes, so two processes may
    differ at one version. Until they read the next one the domain counts as
    evacuated.
    """
    return state.version, state.is_evacuated


class Evacuations:
    """The known states of failure domains, by the highest version.

    They come from the table, as one whole reading, and from other processes,
    as single states. A domain of which nothing is known has the state that
    the last reading implies.
    """

    def __init__(self) -> None:
        self.states: dict[str, runs.DomainState] = {}
        self.evacuated: set[str] = set()
        self.read_version = 0
        self.read_domains: frozenset[str] = frozenset()
        # Evacuations that began or ended since this was last taken.
        self.changes: list[runs.DomainState] = []

    def is_evacuated(self, domain: str) -> bool:
        """Tell whether a domain is evacuated."""
        return domain in self.evacuated

    def state(self, domain: str) -> runs.DomainState:
        """Return the state of a domain."""
        known = self.states.get(domain)
        if known is not None:
            return known
        return runs.DomainState(
            domain=domain, version=self.read_version, is_evacuated=False
        )

    def read(self, version: int, domains: frozenset[str]) -> None:
        """Record the evacuated domains that the table lists at a version.

        A later reading is newer than an earlier one of this process, also if
        the store has lost its history and counts anew.
        """
        if version <= self.read_version:
            is_changed = domains != self.read_domains
            version = self.read_version + is_changed
        for domain in sorted(domains | self.states.keys()):
            self.merge(
                runs.DomainState(
                    domain=domain,
                    version=version,
                    is_evacuated=domain in domains,
                )
            )
        self.read_version = version
        self.read_domains = domains
        for state in list(self.states.values()):
            if not state.is_evacuated and state.version <= version:
                # The reading implies this state.
                del self.states[state.domain]

    def merge(self, state: runs.DomainState) -> bool:
        """Record a state unless a newer one is known; tell whether it is."""
        if not is_valid(state):
            return False
        known = self.state(state.domain)
        if precedence(state) <= precedence(known):
            return False
        self.states[state.domain] = state
        if state.is_evacuated != known.is_evacuated:
            self.changes.append(state)
            if state.is_evacuated:
                self.evacuated.add(state.domain)
            else:
                self.evacuated.remove(state.domain)
        return True

    def take_changes(self) -> list[runs.DomainState]:
        """Return the evacuations that began or ended, and clear them."""
        taken, self.changes = self.changes, []
        return taken

    def update_for(
        self, domain: str, known: runs.OptionalDomainState
    ) -> runs.OptionalDomainState:
        """Return what a process must learn that has reported ``known``.

        A process that has reported nothing takes the domain for in use.
        """
        if not isinstance(known, runs.DomainState):
            if domain not in self.evacuated:
                return runs.NO_DOMAIN_STATE
            return self.states[domain]
        state = self.state(domain)
        if precedence(state) > precedence(known):
            return state
        return runs.NO_DOMAIN_STATE

    def report(self, domain: str) -> runs.OptionalDomainState:
        """Return the state of a domain if one was ever received."""
        return self.states.get(domain, runs.NO_DOMAIN_STATE)


def is_valid(state: runs.DomainState) -> bool:
    """Tell whether a state can be stored and sent on."""
    return (
        0 < len(state.domain) <= MAX_DOMAIN_CHARS
        and 0 <= state.version <= MAX_VERSION
    )
