"""A stand-in of the platform's store: tables of rows, as PROTOCOL.md tells them.

Usage: store.py ADDRESS:PORT HEARTBEAT_MS
"""
import asyncio
import json
import sys
import time
import urllib.parse

import http11


class Store:
    def __init__(self, heartbeat_ms):
        self.rows = {}
        self.history = []
        self.counter = 1
        self.news = asyncio.Event()
        self.lapse_s = 3 * heartbeat_ms / 1000
        self.seen = {}

    def row(self, name):
        table, part, key = name
        row = {"Table": table, "part": part, "Key": key}
        if name in self.rows:
            row["Value"], row["ApiVersion"] = self.rows[name]
        else:
            row["Tombstone"] = True
        return row

    def reply(self, status, rows, **more):
        body = {"Rows": rows, "ApiVersion": self.counter, "CurrentTimeMs": int(time.monotonic() * 1000), **more}
        headers = [("Content-Type", "application/json"), ("Store-Era", 1)]
        return http11.response(status, headers, json.dumps(body).encode())

    def get(self, query):
        table, part, first = query.get("Table", ""), query.get("part", ""), query.get("From", "")
        limit = min(int(query.get("Limit", "500")), 500)
        names = sorted(n for n in self.rows if n[0] == table and n[1] == part and n[2] >= first)
        return self.reply(200, [self.row(n) for n in names[:limit]], HasMore=len(names) > limit)

    def changes(self, table, after):
        latest = {}
        for version, name in self.history:
            if version > after and name[0] == table:
                latest.pop(name, None)
                latest[name] = version
        return [self.row(name) for name in latest]

    async def feed(self, query):
        table, after = query.get("Table", ""), int(query.get("AfterRevision", "0"))
        ends = time.monotonic() + int(query.get("WaitMs", "0")) / 1000
        while True:
            found = self.changes(table, after)
            left = ends - time.monotonic()
            if found or left <= 0:
                return self.reply(200, found)
            news = self.news
            try:
                await asyncio.wait_for(news.wait(), left)
            except asyncio.TimeoutError:
                pass

    def apply(self, puts, removals):
        self.counter += 1
        for name, value in puts:
            self.rows[name] = (value, self.counter)
            self.history.append((self.counter, name))
            if name[0] == "servers":
                self.seen[name] = time.monotonic()
        for name in removals:
            if self.rows.pop(name, None):
                self.history.append((self.counter, name))
        self.news.set()
        self.news = asyncio.Event()

    def transact(self, body):
        def name_of(item):
            return item.get("Table", ""), item.get("part", ""), item.get("Key", "")

        asked = body.get("ExpectedRevision", [])
        if any(self.rows.get(name_of(one), ("", 0))[1] != one.get("ApiVersion", 0) for one in asked):
            return self.reply(412, [self.row(name_of(one)) for one in asked])
        puts = [(name_of(one), one.get("Value", "")) for one in body.get("Puts", [])]
        self.apply(puts, [name_of(one) for one in body.get("Remove", [])])
        return self.reply(200, [])

    async def lapse(self):
        """Entries go after three intervals without a heartbeat."""
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            late = [n for n, at in self.seen.items() if now - at > self.lapse_s]
            for name in late:
                del self.seen[name]
                self.apply([], [name])

    async def serve(self, reader, writer):
        try:
            while (head := await http11.read_head(reader)) is not None:
                body = await http11.read_body(reader, head)
                _, target, _ = head.start.split(" ")
                path, _, raw = target.partition("?")
                query = dict(urllib.parse.parse_qsl(raw, keep_blank_values=True))
                if path == "/rows-get":
                    answer = self.get(query)
                elif path == "/rows-feed":
                    answer = await self.feed(query)
                elif path == "/rows-tx":
                    answer = self.transact(json.loads(body))
                else:
                    answer = http11.response(404)
                writer.write(answer)
                await writer.drain()
        except (http11.Ended, ConnectionError):
            pass
        finally:
            writer.close()


async def main():
    host, port = sys.argv[1].rsplit(":", 1)
    store = Store(int(sys.argv[2]))
    server = await asyncio.start_server(store.serve, host, int(port), limit=http11.MOST_HEAD * 64)
    print("ready", flush=True)
    async with server:
        await asyncio.gather(server.serve_forever(), store.lapse())


asyncio.run(main())
