"""Small HTTP/1.1 server, client and TCP proxy on asyncio, for the stand-ins."""

import asyncio
import json
import urllib.parse


class BrokenChannel(Exception):
    """The channel ended before a complete answer."""


async def read_message(reader):
    """Reads one message: start line, headers (lower-case names) and body; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise BrokenChannel("ended within the headers") from error
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    try:
        body = await read_body(reader, headers)
    except asyncio.IncompleteReadError as error:
        raise BrokenChannel("ended within the body") from error
    return lines[0], headers, body


async def read_body(reader, headers):
    """Reads a body with a length or in chunks."""
    if "chunked" not in headers.get("transfer-encoding", ""):
        return await reader.readexactly(int(headers.get("content-length", "0")))
    chunks = []
    while True:
        size = int((await reader.readuntil(b"\r\n")).strip(), 16)
        chunks.append(await reader.readexactly(size))
        await reader.readexactly(2)
        if size == 0:
            return b"".join(chunks)


def json_bytes(value):
    """Encodes a JSON body."""
    return json.dumps(value, separators=(",", ":")).encode()


class Request:
    """Request as a handler sees it."""

    def __init__(self, method, target, headers, body):
        parts = urllib.parse.urlsplit(target)
        self.method = method
        self.path = parts.path
        self.query = dict(urllib.parse.parse_qsl(parts.query))
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)


class HttpServer:
    """Serves requests with an async handler, which returns the status and the body."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None

    async def start(self, host, port):
        self.server = await asyncio.start_server(self.serve, host, port, limit=1 << 20)

    async def serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                line, headers, body = message
                method, target, _ = line.split(" ", 2)
                status, answer = await self.handler(Request(method, target, headers, body))
                if not isinstance(answer, bytes):
                    answer = json_bytes(answer)
                head = f"HTTP/1.1 {status} x\r\ncontent-length: {len(answer)}\r\n\r\n"
                writer.write(head.encode() + answer)
                await writer.drain()
        except (BrokenChannel, ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class HttpChannel:
    """Client channel that carries one request at a time."""

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.reader = self.writer = None

    async def request(self, method, target, headers=None, body=b""):
        """Sends a request; returns the status, the headers and the body of the answer."""
        try:
            if self.writer is None:
                connecting = asyncio.open_connection(self.host, self.port, limit=1 << 20)
                self.reader, self.writer = await connecting
            fields = {"host": f"{self.host}:{self.port}", "content-length": str(len(body))}
            fields.update(headers or {})
            text = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
            self.writer.write(f"{method} {target} HTTP/1.1\r\n{text}\r\n".encode() + body)
            await self.writer.drain()
            message = await read_message(self.reader)
        except (ConnectionError, OSError, BrokenChannel) as error:
            self.close()
            raise BrokenChannel(str(error)) from error
        except asyncio.CancelledError:
            self.close()
            raise
        if message is None:
            self.close()
            raise BrokenChannel("ended without an answer")
        line, answer_headers, answer = message
        if answer_headers.get("connection", "").lower() == "close":
            self.close()
        return int(line.split(" ", 2)[1]), answer_headers, answer

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


async def request_once(host, port, method, target, headers=None, body=b"", timeout=1.0):
    """Sends one request over a channel of its own."""
    channel = HttpChannel(host, port)
    try:
        return await asyncio.wait_for(channel.request(method, target, headers, body), timeout)
    except asyncio.TimeoutError as error:
        raise BrokenChannel("no answer in time") from error
    finally:
        channel.close()


class SilencingProxy:
    """TCP proxy whose open channels can go silent for good while new ones work."""

    def __init__(self, target_host, target_port):
        self.target = (target_host, target_port)
        self.silent_below = 0
        self.count = 0
        self.open = set()
        self.server = None

    async def start(self, host, port):
        self.server = await asyncio.start_server(self.forward, host, port)

    def silence(self):
        """Discards all further bytes of the channels that are open now, without closing them."""
        self.silent_below = self.count
        return len(self.open)

    async def forward(self, reader, writer):
        number = self.count
        self.count += 1
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.open.add(number)
        ends = (writer, target_writer)
        copies = (
            asyncio.ensure_future(self.copy(number, reader, target_writer)),
            asyncio.ensure_future(self.copy(number, target_reader, writer)),
        )
        try:
            await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
            # Nothing of a silent channel passes, neither bytes nor its end.
            while number < self.silent_below:
                await asyncio.sleep(0.5)
        finally:
            for copying in copies:
                copying.cancel()
            for end in ends:
                end.close()
            self.open.discard(number)

    async def copy(self, number, reader, writer):
        try:
            while data := await reader.read(1 << 16):
                if number >= self.silent_below:
                    writer.write(data)
                    await writer.drain()
        except (ConnectionError, OSError):
            pass
