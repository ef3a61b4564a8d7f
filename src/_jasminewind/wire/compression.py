"""Compression of the frames of one connection.

All frames of a direction share one deflate stream, so that what earlier
frames contained, such as field names and the specification of a job, takes
few bytes again. Each frame ends with a sync flush and can be read at once.
"""

import zlib

import result

from _jasminewind import errors
from _jasminewind.wire import frames

# First byte of a compressed payload. Uncompressed ones start with a brace.
MARKER = b"z"
# A window of 8 KiB covers the orders of one job. A connection needs 48 KiB
# for its compressor and 16 KiB for its decompressor.
WINDOW_BITS = 13
MEMORY_LEVEL = 5
LEVEL = 1
# Every sync flush ends with these bytes, so they are not sent.
SYNC_FLUSH_TAIL = b"\x00\x00\xff\xff"


class Compressor:
    """Compresses the payloads that one connection sends, in order."""

    def __init__(self) -> None:
        self.stream = zlib.compressobj(
            LEVEL, zlib.DEFLATED, -WINDOW_BITS, MEMORY_LEVEL
        )

    def compress(self, payload: bytes) -> bytes:
        """Return the payload to send in place of ``payload``."""
        data = self.stream.compress(payload)
        data += self.stream.flush(zlib.Z_SYNC_FLUSH)
        return MARKER + data.removesuffix(SYNC_FLUSH_TAIL)


class Decompressor:
    """Restores the payloads that one connection receives, in order."""

    def __init__(self) -> None:
        self.stream = zlib.decompressobj(-WINDOW_BITS)

    def restore(
        self, payload: bytes
    ) -> result.Result[bytes, errors.WireError]:
        """Return the original of a payload, compressed or not.

        After an error, later payloads cannot be restored either.
        """
        if not payload.startswith(MARKER):
            return result.Ok(payload)
        data = payload[len(MARKER) :] + SYNC_FLUSH_TAIL
        try:
            # One byte more tells a payload of the largest size from a
            # longer one.
            restored = self.stream.decompress(data, frames.MAX_FRAME_BYTES + 1)
        except zlib.error as e:
            return result.Err(
                errors.WireError(reason=f"malformed compressed frame: {e}")
            )
        if len(restored) > frames.MAX_FRAME_BYTES:
            return result.Err(
                errors.WireError(
                    reason="compressed frame is above the limit of "
                    f"{frames.MAX_FRAME_BYTES} bytes"
                )
            )
        return result.Ok(restored)
