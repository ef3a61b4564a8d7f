"""Work ids: UUIDv7 with creation time, mapped to shards by hash."""

import random
import uuid

import result
import xxhash

from _jasminewind import errors

UUID_VERSION = 7
TIME_SHIFT_BITS = 80
RANDOM_BITS = 74


def parse(text: str) -> result.Result[str, errors.IdError]:
    """Return the canonical form of a UUIDv7, or why it is not one."""
    try:
        value = uuid.UUID(text)
    except (ValueError, AttributeError, TypeError):
        return result.Err(
            errors.IdError(
                text=str(text)[:64],
                reason="not a UUID; create one with `jasminewind new-id`",
            )
        )
    if value.version != UUID_VERSION:
        return result.Err(
            errors.IdError(
                text=text,
                reason=(
                    f"UUID version {value.version}, need version 7, which "
                    "holds its creation time; create one with "
                    "`jasminewind new-id`"
                ),
            )
        )
    return result.Ok(str(value))


def new(*, wall_ms: int, rng: random.Random) -> str:
    """Return a new UUIDv7 created at ``wall_ms`` (Unix milliseconds)."""
    bits = rng.getrandbits(RANDOM_BITS)
    value = wall_ms << TIME_SHIFT_BITS
    value |= UUID_VERSION << 76
    value |= (bits >> 62) << 64
    value |= 0b10 << 62
    value |= bits & ((1 << 62) - 1)
    return str(uuid.UUID(int=value))


def time_ms(work_id: str) -> int:
    """Return the creation time of a UUIDv7 in Unix milliseconds."""
    return int(work_id.replace("-", "")[:12], 16)


def shard_of(work_id: str, *, shard_count: int) -> int:
    """Return the shard that owns ``work_id``, in ``range(shard_count)``."""
    return xxhash.xxh64_intdigest(work_id.encode()) % shard_count


def rank(key: str, name: str) -> int:
    """Return the rendezvous-hashing rank of ``name``; the lowest wins."""
    return xxhash.xxh64_intdigest(f"{key}\0{name}".encode())
