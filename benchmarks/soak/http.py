"""Minimal HTTP/1.1 of the soak, independent of the code under test."""

import asyncio
from dataclasses import dataclass, field

__all__ = ["Message", "ProtocolError", "call", "encode", "read_message"]

# Time within which a control call has to be answered, in seconds.
CALL_TIMEOUT_S = 5.0


class ProtocolError(Exception):
    """Raised for bytes that are no HTTP message, or for a message that breaks off."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Message:
    """HTTP request or response.

    Parameters
    ----------
    start_line : tuple of str
        Words of the start line.
    headers : dict of str to list of str
        Values by lower-case name.
    body : bytes
        Whole body.
    """

    start_line: tuple[str, ...]
    headers: dict[str, list[str]]
    body: bytes = field(repr=False)

    def find(self, name: str) -> str:
        """Return the first value of a header, or an empty string."""
        return self.headers.get(name, [""])[0]


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Return the next message; raise `ProtocolError` if there is no whole one."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        headers: dict[str, list[str]] = {}
        for line in lines[1:-2]:
            name, _, value = line.partition(":")
            headers.setdefault(name.strip().lower(), []).append(value.strip())
        size = int(headers.get("content-length", ["0"])[0])
        body = await reader.readexactly(size)
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError) as err:
        raise ProtocolError(repr(err)) from err
    return Message(start_line=tuple(lines[0].split(" ", 2)), headers=headers, body=body)


def encode(start_line: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a message; its length is added."""
    lines = [start_line, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def call(address: str, port: int, target: str, body: bytes = b"") -> Message:
    """Send one POST request on a connection of its own and return the response."""
    async with asyncio.timeout(CALL_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(address, port)
        try:
            writer.write(encode(f"POST {target} HTTP/1.1", {"Host": "soak"}, body))
            return await read_message(reader)
        finally:
            writer.close()
