"""Stand-in for the platform's metadata store: topics, and the newest record of each key."""

import asyncio
import base64
import struct
import time

from http_parts import HttpServer, json_bytes

MAX_WAIT_MS = 30_000


class Store:
    """Log with topics of one partition."""

    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Condition()

    async def start(self, host, port):
        await HttpServer(self.handle).start(host, port)

    async def put(self, key, value):
        """Writes a record of the operator; returns when it is confirmed. `None` removes the key."""
        data = b"" if value is None else json_bytes(value)
        record = bytes([len(key)]) + key.encode() + data
        await self.append("keyed.op", [record])

    async def append(self, topic, records):
        async with self.changed:
            log = self.topics.setdefault(topic, [])
            offset = len(log)
            log.extend(records)
            self.changed.notify_all()
        return offset, len(log)

    async def handle(self, request):
        topic = request.query.get("topic", "")
        if request.path == "/v1/log-append":
            if topic in ("keyed.op", "keyed.servers"):
                return 403, b""
            offset, end = await self.append(topic, split_records(request.body))
            await asyncio.sleep(0.004)
            return 200, {"offset": offset, "end": end}
        if request.path == "/v1/log-read":
            wait_ms = min(int(request.query.get("waitMs", "0")), MAX_WAIT_MS)
            return await self.read(topic, int(request.query["from"]), wait_ms)
        if request.path == "/v1/log-newest":
            return 200, self.newest(topic)
        return 404, b""

    async def read(self, topic, first, wait_ms):
        deadline = time.monotonic() + wait_ms / 1000
        async with self.changed:
            while len(self.topics.get(topic, [])) <= first:
                left = deadline - time.monotonic()
                if left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    break
        log = self.topics.get(topic, [])
        rows = b"".join(struct.pack(">I", len(row)) + row for row in log[first:])
        return 200, struct.pack(">QQ", len(log), 0) + rows

    def newest(self, topic):
        log = self.topics.get(topic, [])
        items = {}
        for offset, row in enumerate(log):
            length = row[0]
            key, value = row[1:1 + length].decode(), row[1 + length:]
            if value:
                items[key] = (value, offset)
            else:
                items.pop(key, None)
        rows = [{"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (value, offset) in sorted(items.items())]
        return {"items": rows, "hasMore": False, "end": len(log)}


def split_records(body):
    """Splits the body of an append into its records."""
    records, position = [], 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        records.append(body[position + 4:position + 4 + length])
        position += 4 + length
    return records
