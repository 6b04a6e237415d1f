"""Minimal HTTP/1.1 server and client on asyncio, for the stand-ins of the review."""

import asyncio
import json


class Server:
    """Server on a loopback port; `abort` closes all its connections, as the kernel does for a killed process."""

    def __init__(self, handler):
        self.handler = handler
        self.writers = set()
        self.server = None
        self.port = None

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    def abort(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line = await reader.readline()
                if not line:
                    return
                method, target, _ = line.decode("latin-1").split(" ", 2)
                headers = {}
                while True:
                    line = await reader.readline()
                    if line in (b"\r\n", b""):
                        break
                    name, value = line.decode("latin-1").split(":", 1)
                    headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length) if length else b""
                result = await self.handler(method, target, headers, body)
                if result is None:
                    # No answer: the connection stays silent until the peer closes it.
                    await reader.read()
                    return
                status, payload = result
                data = b"" if payload is None else json.dumps(payload).encode()
                head = f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


async def call(port, method, path, host="localhost", body=None, deadline_ms=3000, key=None):
    """Sends one request on a new connection; returns the status (0 without an answer) and the decoded body."""

    async def exchange():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            auth = f"Authorization: Bearer {key}\r\n" if key else ""
            head = (
                f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nDeadline-Ms: {deadline_ms}\r\n{auth}"
                f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\nConnection: close\r\n\r\n"
            )
            writer.write(head.encode() + data)
            await writer.drain()
            answer = await reader.read()
        finally:
            writer.close()
        head, _, rest = answer.partition(b"\r\n\r\n")
        if not head:
            return 0, None
        status = int(head.split(b" ", 2)[1])
        try:
            return status, json.loads(rest) if rest else None
        except ValueError:
            return status, rest.decode("latin-1")

    try:
        return await asyncio.wait_for(exchange(), deadline_ms / 1000 + 0.5)
    except (OSError, asyncio.TimeoutError, IndexError, ValueError):
        return 0, None
