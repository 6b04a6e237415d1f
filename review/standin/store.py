"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it (tables only; objects aren't used).

Limits of the page that are enforced: row_bytes, 100 entries and 1 MB per transaction, one part per transaction unless
`across` is set, the transactions of a part one after the other, calls per second, history.
"""

import asyncio
import base64
import binascii
import time
from urllib.parse import parse_qsl

from http_lite import NoAnswer, Reset, serve

ROW_BYTES = 65_536
TX_S = 0.003
ANSWER_S = 0.001
HISTORY_S = 20.0
MAX_ENTRIES = 100
MAX_TX_BYTES = 1_000_000
PAGE_ROWS = 500
PAGE_BYTES = 1_000_000


class Bucket:
    """Calls per second, with a burst of one second."""

    def __init__(self, rate):
        self.rate = rate
        self.level = rate
        self.at = time.monotonic()

    def take(self):
        now = time.monotonic()
        self.level = min(self.rate, self.level + (now - self.at) * self.rate)
        self.at = now
        if self.level < 1:
            return False
        self.level -= 1
        return True


class Store:
    def __init__(self, log, writes_per_s=800.0, reads_per_s=2000.0):
        self.log = log
        self.ver = 100
        self.rows = {}  # (table, part) -> {key: (value, ver)}
        self.history = []  # (time, ver, table, part, key, value or None)
        self.dropped_ver = 100
        self.part_free_at = {}
        self.waiters = set()
        self.writes = Bucket(writes_per_s)
        self.reads = Bucket(reads_per_s)
        self.down = None  # None, "busy", "silent" or "reset"
        # Called with the body of each transaction; may return a delay in s: the transaction is then applied that much
        # later, if its conditions still hold, and gets no answer.
        self.late = None
        self.refused_rows = 0
        self.answers = {}

    async def start(self):
        self.server, self.addr = await serve(self.handle)

    # Writes of the operator and of workers, which the platform itself carries out.
    def put(self, table, key, value, part=""):
        self.ver += 1
        self.apply_put(table, part, key, base64.b64encode(value.encode()).decode())
        self.wake()

    def remove(self, table, key, part=""):
        self.ver += 1
        self.apply_remove(table, part, key)
        self.wake()

    def apply_put(self, table, part, key, value):
        self.rows.setdefault((table, part), {})[key] = (value, self.ver)
        self.history.append((time.monotonic(), self.ver, table, part, key, value))

    def apply_remove(self, table, part, key):
        if self.rows.get((table, part), {}).pop(key, None) is not None:
            self.history.append((time.monotonic(), self.ver, table, part, key, None))

    def value(self, table, part, key):
        row = self.rows.get((table, part), {}).get(key)
        return base64.b64decode(row[0]).decode() if row else None

    def wake(self):
        limit = time.monotonic() - HISTORY_S
        drop = 0
        while drop < len(self.history) and self.history[drop][0] < limit:
            self.dropped_ver = self.history[drop][1]
            drop += 1
        if drop > 1000:
            del self.history[:drop]
        for waiter in self.waiters:
            if not waiter.done():
                waiter.set_result(None)
        self.waiters.clear()

    def now_ms(self):
        return int(time.monotonic() * 1000)

    async def handle(self, req):
        status, answer = await self.answer(req)
        self.answers[(req.path, status)] = self.answers.get((req.path, status), 0) + 1
        return status, answer

    def check_up(self):
        if self.down == "busy":
            return False
        if self.down == "silent":
            raise NoAnswer
        if self.down == "reset":
            raise Reset
        return True

    async def answer(self, req):
        if not self.check_up():
            return 503, None
        if req.path == "/rows-tx" and req.method == "POST":
            if not self.writes.take():
                return 429, None
            return await self.transact(req.json())
        if not self.reads.take():
            return 429, None
        await asyncio.sleep(ANSWER_S)
        query = dict(parse_qsl(req.query, keep_blank_values=True))
        if req.path == "/rows-get":
            return self.get(query)
        if req.path == "/rows-parts":
            names = sorted(p for (t, p), rows in self.rows.items() if t == query["table"] and rows)
            names = [p for p in names if p > query.get("after", "")] if "after" in query else names
            return 200, {"parts": names[:1000], "has_more": len(names) > 1000, "ver": self.ver,
                         "now_ms": self.now_ms()}
        if req.path == "/rows-feed":
            return await self.feed(query)
        return 404, None

    async def transact(self, body):
        entries = [(kind, row) for kind in ("expect", "puts", "removes") for row in body.get(kind) or []]
        parts = {row.get("part", "") for _, row in entries}
        size = sum(len(row.get("value", "")) for _, row in entries)
        if not entries or len(entries) > MAX_ENTRIES or size > MAX_TX_BYTES:
            return 400, {"problem": "entries"}
        if len(parts) > 1 and not body.get("across"):
            return 400, {"problem": "several parts"}
        for kind, row in entries:
            if any(len(row.get(name, "").encode()) > 200 for name in ("table", "part", "key")):
                return 400, {"problem": "name"}
            if kind != "expect" and row["table"] in ("op", "servers"):
                return 403, None
            if kind == "puts":
                try:
                    length = len(base64.b64decode(row["value"], validate=True))
                except (binascii.Error, ValueError):
                    return 400, {"problem": "base64"}
                if length > ROW_BYTES:
                    self.refused_rows += 1
                    if self.refused_rows <= 5 or self.refused_rows % 100 == 0:
                        self.log(f"store: refuses row {row['table']}/{row['part']}/{row['key']} of {length} bytes, more "
                                 f"than row_bytes = {ROW_BYTES} (refusal {self.refused_rows})")
                    return 400, {"problem": "row_bytes"}
        late = self.late(body) if self.late else None
        if late is not None:
            asyncio.get_running_loop().call_later(late, self.apply, body)
            raise NoAnswer
        now = time.monotonic()
        begin = max(now, *(self.part_free_at.get(part, 0.0) for part in parts))
        if begin - now > 1.0:
            return 429, None
        took = TX_S * (2 if len(parts) > 1 else 1)
        for part in parts:
            self.part_free_at[part] = begin + took
        await asyncio.sleep(begin + took - now)
        if not self.check_up():
            return 503, None
        answer = self.apply(body)
        return answer

    def apply(self, body):
        conflicts = False
        for row in body.get("expect") or []:
            found = self.rows.get((row["table"], row.get("part", "")), {}).get(row["key"])
            conflicts |= (found[1] if found else 0) != row["ver"]
        if conflicts:
            rows = []
            for row in body["expect"]:
                found = self.rows.get((row["table"], row.get("part", "")), {}).get(row["key"])
                if found:
                    rows.append(self.row(row["table"], row.get("part", ""), row["key"], *found))
            return 412, {"rows": rows, "ver": self.ver, "now_ms": self.now_ms()}
        self.ver += 1
        for row in body.get("puts") or []:
            self.apply_put(row["table"], row.get("part", ""), row["key"], row["value"])
        for row in body.get("removes") or []:
            self.apply_remove(row["table"], row.get("part", ""), row["key"])
        self.wake()
        return 200, {"ver": self.ver, "now_ms": self.now_ms()}

    @staticmethod
    def row(table, part, key, value, ver):
        return {"table": table, "part": part, "key": key, "value": value, "ver": ver}

    def get(self, query):
        table, part = query["table"], query.get("part", "")
        begin, end = query.get("from", ""), query.get("to")
        limit = min(int(query.get("limit", PAGE_ROWS)), PAGE_ROWS)
        rows, size, more = [], 0, False
        for key, (value, ver) in sorted(self.rows.get((table, part), {}).items(), key=lambda it: it[0].encode()):
            if key < begin or (end is not None and key >= end):
                continue
            if len(rows) >= limit or (rows and size + len(value) > PAGE_BYTES):
                more = True
                break
            rows.append(self.row(table, part, key, value, ver))
            size += len(value)
        return 200, {"rows": rows, "has_more": more, "ver": self.ver, "now_ms": self.now_ms()}

    async def feed(self, query):
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + min(int(query.get("wait_ms", 0)), 30_000) / 1000
        while True:
            if after < self.dropped_ver and after < self.ver:
                return 410, None
            rows = []
            for _, ver, its_table, part, key, value in reversed(self.history):
                if ver <= after:
                    break
                if its_table == table:
                    row = self.row(table, part, key, value, ver)
                    if value is None:
                        del row["value"]
                        row["deleted"] = True
                    rows.append(row)
            rest = until - time.monotonic()
            if rows or rest <= 0:
                rows.reverse()
                return 200, {"rows": rows, "ver": self.ver, "now_ms": self.now_ms()}
            waiter = asyncio.get_running_loop().create_future()
            self.waiters.add(waiter)
            try:
                await asyncio.wait_for(waiter, rest)
            except asyncio.TimeoutError:
                pass
            finally:
                self.waiters.discard(waiter)
            if not self.check_up():
                return 503, None
