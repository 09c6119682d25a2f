"""A small HTTP/1.1 server and client on asyncio, for the stand-ins of the review."""

import asyncio
import json

REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 429: "Too Many Requests", 503: "Service Unavailable"}


async def read_message(reader):
    """Returns (first line, headers, body), or None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


class Server:
    """Serves one address. `handler(method, target, headers, body)` returns (status, dict),
    or None if the request gets no answer and its connection stays silent."""

    def __init__(self, ip, port, handler):
        self.ip, self.port, self.handler = ip, port, handler
        self.server = None
        self.writers = set()
        self.dark = False
        self.without_power = set()

    async def open(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def crash(self):
        """Closes the port and resets all connections, as the end of a process does."""
        self.server.close()
        self.server = None
        self.reset()

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()

    def lose_power(self):
        """Open connections go silent; data that arrives on one later is answered by a reset.
        New connections get no answer until the server is closed."""
        self.dark = True
        self.without_power |= self.writers

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            if self.dark:
                await asyncio.sleep(3)
                return
            while True:
                first, headers, body = await read_message(reader)
                if writer in self.without_power:
                    return
                method, target, _ = first.split(" ", 2)
                answer = await self.handler(method, target, headers, body)
                if answer is None or writer in self.without_power:
                    # No answer; the next bytes on the connection reset it.
                    await reader.read(1)
                    return
                status, content = answer
                data = b"" if content is None else json.dumps(content).encode()
                writer.write((f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
                              f"Content-Type: application/json\r\n"
                              f"Content-Length: {len(data)}\r\n\r\n").encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


async def call(ip, port, method, path, host, body=None, timeout=3.0):
    """One request on a connection of its own. Returns (status, body), or (None, reason) if
    there was no whole answer."""
    writer = None
    try:
        async def exchange():
            nonlocal writer
            reader, writer = await asyncio.open_connection(ip, port)
            data = b"" if body is None else json.dumps(body).encode()
            writer.write((f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
                          f"Deadline-Ms: {int(timeout * 1000)}\r\n"
                          f"Content-Type: application/json\r\n"
                          f"Content-Length: {len(data)}\r\nConnection: close\r\n\r\n").encode() + data)
            first, _, content = await read_message(reader)
            return int(first.split(" ")[1]), (json.loads(content) if content else None)
        return await asyncio.wait_for(exchange(), timeout)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError) as fault:
        return None, type(fault).__name__
    finally:
        if writer is not None:
            writer.transport.abort()
