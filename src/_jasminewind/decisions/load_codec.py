"""Compact encoding of a load report in a heartbeat."""

from _jasminewind import members
from _jasminewind import resources

FIELD_COUNT = 3 + 2 * len(resources.FIELDS)


def pack(load: members.Load) -> tuple[float, ...]:
    """Encode sequence, running, queued, ``free`` and ``free_long``."""
    amounts = [
        _compact(getattr(vector, field))
        for vector in (load.free, load.free_long)
        for field in resources.FIELDS
    ]
    return (load.sequence, load.running, load.queued, *amounts)


def unpack(fields: tuple[float, ...]) -> members.Load | None:
    """Decode the output of :func:`pack`; ``None`` if malformed."""
    if len(fields) != FIELD_COUNT:
        return None
    count = len(resources.FIELDS)
    free = dict(zip(resources.FIELDS, fields[3 : 3 + count]))
    free_long = dict(zip(resources.FIELDS, fields[3 + count :]))
    return members.Load(
        sequence=int(fields[0]),
        running=int(fields[1]),
        queued=int(fields[2]),
        free=resources.Resources(**free),
        free_long=resources.Resources(**free_long),
    )


def _compact(amount: float) -> float:
    """Return a whole ``amount`` as an integer, which takes fewer bytes."""
    return int(amount) if amount == int(amount) else round(amount, 3)
