"""Small HTTP/1.1 parts that the stand-ins and the clients of the cases share."""
import asyncio

MOST_HEAD = 64 * 1024


class Ended(Exception):
    """The connection ended before the message was whole."""


class Message:
    """The head of a request or a response."""

    def __init__(self, start, headers):
        self.start = start
        self.headers = headers

    def get(self, name, default=""):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default


async def read_head(reader):
    """The next head; None when the connection ends before its first byte."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise Ended("in a head") from error
    except (ConnectionError, OSError) as error:
        raise Ended("reset") from error
    lines = raw.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip(), value.strip()))
    return Message(lines[0], headers)


async def read_exactly(reader, size):
    try:
        return await reader.readexactly(size)
    except (asyncio.IncompleteReadError, ConnectionError, OSError) as error:
        raise Ended("in a body") from error


async def read_line(reader):
    try:
        line = await reader.readuntil(b"\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError) as error:
        raise Ended("in a body") from error
    return line[:-2].decode("latin-1")


async def body_parts(reader, head):
    """The parts of a body as they come; raises Ended when it breaks off."""
    if head.get("Transfer-Encoding").lower() == "chunked":
        while True:
            size = int((await read_line(reader)).split(";")[0], 16)
            if size == 0:
                while await read_line(reader):
                    pass
                return
            yield await read_exactly(reader, size)
            await read_exactly(reader, 2)
    elif head.get("Content-Length"):
        length = int(head.get("Content-Length"))
        if length:
            yield await read_exactly(reader, length)


async def read_body(reader, head):
    whole = b""
    async for part in body_parts(reader, head):
        whole += part
    return whole


def message(start, headers, body=b""):
    lines = [start] + [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def response(status, headers=(), body=b"", reason="Status"):
    """A whole response with a length."""
    listed = list(headers) + [("Content-Length", len(body))]
    return message(f"HTTP/1.1 {status} {reason}", listed, body)


async def call(address, method, target, body=b"", headers=(), timeout=2.0):
    """One call over a connection of its own; (status, body)."""
    host, port = address.rsplit(":", 1)

    async def run():
        reader, writer = await asyncio.open_connection(host, int(port), limit=MOST_HEAD * 64)
        try:
            listed = [("Host", address), *headers, ("Content-Length", len(body)), ("Connection", "close")]
            writer.write(message(f"{method} {target} HTTP/1.1", listed, body))
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                raise Ended("no answer")
            return int(head.start.split()[1]), await read_body(reader, head)
        finally:
            writer.close()

    return await asyncio.wait_for(run(), timeout)
