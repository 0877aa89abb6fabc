"""Buffers for the bodies of requests while they are received."""

from mmap import MAP_ANONYMOUS, MAP_PRIVATE, mmap

__all__ = ["Body", "BodyBuffer"]

# Complete body of a request. A large one is mapped memory: it grows without a copy and
# returns to the operating system at once, which the heap does not guarantee.
Body = bytes | mmap

# Size from which a body is mapped memory, in bytes.
MIN_MAPPED_SIZE = 131_072
# Least growth of mapped memory, in bytes. Pages that are not written take no memory.
GROWTH_SIZE = 4_194_304


class BodyBuffer:
    """Body that is received part by part and held once.

    Parameters
    ----------
    size : int or None
        Size of the body, in bytes; None if it is not known.

    Attributes
    ----------
    n_bytes : int
        Bytes that were received.
    """

    __slots__ = ("mapped", "n_bytes", "parts", "size")

    def __init__(self, *, size: int | None) -> None:
        self.size = size
        self.n_bytes = 0
        self.parts: list[bytes] = []
        self.mapped: mmap | None = None

    def append(self, part: bytes) -> None:
        """Append a part."""
        end = self.n_bytes + len(part)
        if self.mapped is None:
            if end <= MIN_MAPPED_SIZE:
                self.parts.append(part)
                self.n_bytes = end
                return
            self.mapped = mmap(
                -1,
                max(end, self.size or GROWTH_SIZE),
                flags=MAP_PRIVATE | MAP_ANONYMOUS,
            )
            content = b"".join(self.parts)
            self.mapped[: len(content)] = content
            self.parts.clear()
        elif end > len(self.mapped):
            self.mapped.resize(end + GROWTH_SIZE)
        self.mapped[self.n_bytes : end] = part
        self.n_bytes = end

    def finish(self) -> Body:
        """Return the complete body and forget it."""
        mapped, self.mapped = self.mapped, None
        parts, self.parts = self.parts, []
        if mapped is None:
            return parts[0] if len(parts) == 1 else b"".join(parts)
        if self.n_bytes < len(mapped):
            mapped.resize(self.n_bytes)
        return mapped
