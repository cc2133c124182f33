"""A small HTTP/1.1 server and client on asyncio, for the stand-ins."""

import asyncio
import json


class Dropped(Exception):
    """Raised by a handler: the call gets no answer, and its channel hangs."""


async def _read_message(reader):
    """Returns the first line, the headers and the body, or None at the end."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        header = await reader.readline()
        if header in (b"\r\n", b"\n", b""):
            break
        name, _, value = header.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return line.decode("latin-1").split(), headers, body


class Server:
    """Calls handler(method, target, headers, body), which returns a status and
    a value to send as JSON."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None

    async def listen(self, host, port):
        self.server = await asyncio.start_server(
            self._serve, host, port, limit=1 << 21, backlog=1024
        )

    async def _serve(self, reader, writer):
        try:
            while True:
                message = await _read_message(reader)
                if message is None:
                    break
                (method, target, *_), headers, body = message
                try:
                    status, value = await self.handler(method, target, headers, body)
                except Dropped:
                    # The channel stays open and silent until the peer closes it.
                    await reader.read()
                    break
                text = json.dumps(value).encode() if value is not None else b""
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


async def call(host, port, method, target, headers=None, value=None, timeout=3.0):
    """Makes one call. Returns the status and the parsed body, or (0, None) when
    there is no answer in time."""
    body = json.dumps(value).encode() if value is not None else b""
    lines = [f"{method} {target} HTTP/1.1"]
    for name, text in {"Host": f"{host}:{port}", **(headers or {})}.items():
        lines.append(f"{name}: {text}")
    lines.append(f"Content-Length: {len(body)}")
    lines.append("Connection: close")
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, port)
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await writer.drain()
        return await _read_message(reader)

    try:
        message = await asyncio.wait_for(exchange(), timeout)
        if message is None:
            return 0, None
        (_, status, *_), _, answer = message
        return int(status), json.loads(answer) if answer else None
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()
