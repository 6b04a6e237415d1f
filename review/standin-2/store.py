"""Stand-in of the platform's metadata store: rows, transactions and the change feed, as PROTOCOL.md describes them."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

from http_server import Server

MAX_ENTRIES = 100
MAX_ROW_BYTES = 65_536
MAX_PAGE_ROWS = 500


def encode(value):
    return base64.b64encode(json.dumps(value).encode()).decode()


class Store:
    def __init__(self):
        self.rows = {}
        self.log = []
        self.version = 0
        self.changed = asyncio.Event()
        # Time that each answer takes, in seconds.
        self.answer_s = 0.004
        self.server = Server(self.handle)

    def write(self, puts, removes=()):
        """Applies one transaction, by name (table, part, key); values are base64."""
        self.version += 1
        for name, value in puts.items():
            self.rows[name] = (value, self.version)
            self.log.append((self.version, name, value))
        for name in removes:
            if self.rows.pop(name, None):
                self.log.append((self.version, name, None))
        self.changed.set()
        self.changed = asyncio.Event()

    def put_platform(self, table, key, value):
        self.write({(table, "", key): encode(value)})

    def remove_platform(self, table, key):
        self.write({}, [(table, "", key)])

    def read(self, table, part, key):
        row = self.rows.get((table, part, key))
        return None if row is None else base64.b64decode(row[0]).decode()

    def answer(self, status, **fields):
        return status, {"ver": self.version, "now_ms": int(time.monotonic() * 1000), **fields}

    async def handle(self, method, target, _headers, body):
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == "/rows-feed":
            result = await self.feed(query)
            await asyncio.sleep(self.answer_s)
            return result
        await asyncio.sleep(self.answer_s)
        if url.path == "/rows-tx" and method == "POST":
            return self.transact(json.loads(body))
        if url.path == "/rows-get":
            return self.get(query)
        return self.answer(404)

    def transact(self, txn):
        def name(row):
            return row["table"], row["part"], row["key"]

        entries = [*txn.get("expect", []), *txn.get("puts", []), *txn.get("removes", [])]
        too_large = any(len(base64.b64decode(row["value"])) > MAX_ROW_BYTES for row in txn.get("puts", []))
        parts = {row["part"] for row in entries}
        if len(entries) > MAX_ENTRIES or too_large or (len(parts) > 1 and not txn.get("across")):
            return self.answer(400)
        if any(row["table"] in ("op", "servers") for row in [*txn.get("puts", []), *txn.get("removes", [])]):
            return self.answer(403)
        expected = [(name(row), row["ver"]) for row in txn.get("expect", [])]
        if any(self.rows.get(row, (None, 0))[1] != ver for row, ver in expected):
            found = [self.row(row, *self.rows[row]) for row, _ in expected if row in self.rows]
            return self.answer(412, rows=found)
        self.write(
            {name(row): row["value"] for row in txn.get("puts", [])},
            [name(row) for row in txn.get("removes", [])],
        )
        return self.answer(200)

    @staticmethod
    def row(name, value, ver):
        fields = dict(zip(("table", "part", "key"), name), ver=ver)
        return {**fields, "deleted": True} if value is None else {**fields, "value": value}

    def get(self, query):
        limit = min(int(query.get("limit", MAX_PAGE_ROWS)), MAX_PAGE_ROWS)
        first, last = query.get("from", ""), query.get("to")
        names = sorted(
            name
            for name in self.rows
            if name[:2] == (query["table"], query.get("part", ""))
            and name[2] >= first
            and (last is None or name[2] < last)
        )
        rows = [self.row(name, *self.rows[name]) for name in names[:limit]]
        return self.answer(200, rows=rows, has_more=len(names) > limit)

    async def feed(self, query):
        after, until = int(query["after"]), time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            rows = [
                self.row(name, value, ver)
                for ver, name, value in self.log
                if ver > after and name[0] == query["table"]
            ]
            left = until - time.monotonic()
            if rows or left <= 0:
                return self.answer(200, rows=rows)
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
