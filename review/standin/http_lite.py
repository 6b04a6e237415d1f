"""Minimal HTTP/1.1 server and client on asyncio, with keep-alive."""

import asyncio
import json


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        path, _, query = target.partition("?")
        self.path = path
        self.query = query
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)


class NoAnswer(Exception):
    """Raised by a handler that leaves the request without an answer; the connection stays open and silent."""


class Reset(Exception):
    """Raised by a handler that resets the connection."""


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, sep, value = line.partition(":")
        if sep:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    length = int(headers.get("content-length", "0"))
    return await reader.readexactly(length) if length else b""


REASONS = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found", 409: "Conflict", 410: "Gone",
           412: "Precondition Failed", 421: "Misdirected Request", 429: "Too Many Requests",
           503: "Service Unavailable"}


async def serve(handler, host="127.0.0.1", port=0, writers=None):
    """Starts a server; `handler(request)` returns (status, object for a JSON body or None).

    The writers of open connections are kept in the set `writers`, if there is one.
    """

    async def connection(reader, writer):
        if writers is not None:
            writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(" ", 2)
                body = await read_body(reader, headers)
                try:
                    status, answer = await handler(Request(method, target, headers, body))
                except NoAnswer:
                    # Nothing further is delivered on this connection; it ends when the peer closes it.
                    while await reader.read(65536):
                        pass
                    return
                except Reset:
                    writer.transport.abort()
                    return
                data = b"" if answer is None else json.dumps(answer, separators=(",", ":")).encode()
                head = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\nContent-Length: {len(data)}\r\n"
                if data:
                    head += "Content-Type: application/json\r\n"
                writer.write(head.encode() + b"\r\n" + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, ValueError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            if writers is not None:
                writers.discard(writer)
            try:
                writer.close()
            except RuntimeError:
                pass  # the loop is closed

    server = await asyncio.start_server(connection, host, port, limit=4 << 20, backlog=512)
    return server, server.sockets[0].getsockname()


async def call(addr, method, path, headers=None, body=None, timeout=3.0):
    """One request on a new connection. Returns (status, bytes), or (None, reason) without an answer."""

    async def exchange():
        reader, writer = await asyncio.open_connection(*addr)
        try:
            data = b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
            head = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(data)}"]
            for name, value in {"Host": "%s:%d" % addr, **(headers or {})}.items():
                head.append(f"{name}: {value}")
            writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + data)
            line, answer_headers = await read_head(reader)
            return int(line.split(" ")[1]), await read_body(reader, answer_headers)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except asyncio.TimeoutError:
        return None, "no answer in time"
    except (OSError, ValueError, asyncio.IncompleteReadError) as err:
        return None, f"connection ended: {err}"
