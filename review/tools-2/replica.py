"""A stand-in of a replica: a model replica when it has a kind, a plain one otherwise. It keeps to PROTOCOL.md.

Usage: replica.py JSON, with
  id, service, address, store, record; zone, heartbeat_ms
  kind, total_layers, load_s: of a model replica, which starts empty and takes `place` orders
  event_ms, first_ms: between two events of a stream, and before the first
  unframed: its streams have neither a length nor chunks and end with their connection
  run_ms: how long a plain replica works on a request
  rest_s: of a plain replica, the first request is turned away with 503 and so long a `Retry-After`
  refuse_paths: `repath` orders are refused with 409, as the new part has no room
  crash_part: it ends as it begins to write an answer to a prompt with that part
  extra_orders, extra_ms: so many of its refusals of orders are sent once more, so long afterwards, at a
    point where the next response is expected
"""
import asyncio
import base64
import json
import os
import sys
import time

import http11


class Replica:
    def __init__(self, options):
        self.options = options
        self.born = int(time.time() * 1000)
        self.layers = (0, 0)
        self.beats = 0
        self.orders = 0
        self.loading = False
        self.draining = False
        self.running = {}
        self.rest_s = options.get("rest_s", 0)
        self.extras_left = options.get("extra_orders", 0)
        self.record_file = open(options["record"], "a", buffering=1, encoding="utf-8")

    def record(self, what, **fields):
        entry = {"t": round(time.time(), 3), "at": self.options["id"], "born": self.born, "what": what, **fields}
        self.record_file.write(json.dumps(entry) + "\n")

    def entry(self):
        told = {
            "Service": self.options["service"], "Address": self.options["address"],
            "Zone": self.options.get("zone", "zone-a"), "Version": "v1", "Slots": 16,
            "State": "draining" if self.draining else "ready", "ColdRemainingMs": 0,
            "Sequence": self.beats, "born": self.born,
        }
        if "kind" in self.options:
            told["Kind"] = self.options["kind"]
            told["Layers"] = {"From": self.layers[0], "To": self.layers[1], "Version": 1}
        return told

    async def register(self):
        self.beats += 1
        value = base64.b64encode(json.dumps(self.entry()).encode()).decode()
        row = {"Table": "servers", "part": "", "Key": self.options["id"], "Value": value}
        body = json.dumps({"ExpectedRevision": [], "Puts": [row], "Remove": []}).encode()
        try:
            await http11.call(self.options["store"], "POST", "/rows-tx", body)
        except (http11.Ended, OSError, asyncio.TimeoutError):
            pass

    async def beat(self):
        while True:
            await self.register()
            await asyncio.sleep(self.options.get("heartbeat_ms", 1200) / 1000)

    def report(self):
        told = {
            "Stage": "both", "Models": [], "Busy": self.loading, "Sequence": self.orders, "WaitingCount": 0,
            "RunningCount": len(self.running), "CacheUsed": 0, "CacheTotal": 1_000_000, "Handles": 0,
            "pace": 1.0, "Stalled": [], "born": self.born,
            "Layers": {"From": self.layers[0], "To": self.layers[1], "Version": 1},
        }
        return http11.response(200, [("Content-Type", "application/json")], json.dumps(told).encode())

    async def load(self, wanted):
        await self.register()
        await asyncio.sleep(self.options.get("load_s", 0.2))
        self.layers = wanted
        self.loading = False
        await self.register()

    def order(self, body):
        if body.get("Operation") == "place":
            if self.loading or body.get("ExpectedRevision", self.orders) != self.orders:
                return http11.response(409, [], b"{}")
            self.orders += 1
            self.loading = True
            self.layers = (0, 0)
            self.record("place", layers=[body["From"], body["To"]])
            asyncio.ensure_future(self.load((body["From"], body["To"])))
            return http11.response(202, [], b"{}")
        if body.get("Operation") != "repath":
            return http11.response(400, [], b"{}")
        if body.get("Identifier") not in self.running:
            return http11.response(404, [], b"{}")
        if self.options.get("refuse_paths"):
            parts = body["Path"].split(",")
            last = parts[-1].split("=")[0]
            return http11.response(409, [("Content-Type", "application/json")],
                                   json.dumps({"Address": last}).encode())
        self.running[body["Identifier"]] = body["Path"]
        return http11.response(200, [], b"{}")

    def headers(self, head, run):
        told = [("Dandelionstep-Attempt-Id", head.get("Dandelionstep-Attempt-Id"))]
        if run:
            told.append(("Dandelionstep-Server-Signature", f"{self.options['id']}.{self.born}.s"))
        return told

    def refusal(self, status, head):
        return http11.response(status, [*self.headers(head, False), ("Dandelionstep-Not-Executed", "1")])

    async def serve(self, reader, writer):
        """One request at a time on a connection."""
        channel = {"answering": False}
        try:
            while (head := await http11.read_head(reader)) is not None:
                body = await http11.read_body(reader, head)
                if not await self.answer(head, body, writer, channel):
                    break
        except (http11.Ended, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, head, body, writer, channel):
        _, target, _ = head.start.split(" ")
        expected = head.get("Dandelionstep-Expected-Instance")
        if expected and expected != self.options["id"]:
            writer.write(self.refusal(421, head))
        elif target == "/report":
            writer.write(self.report())
        elif target == "/order":
            told = json.loads(body)
            answer = self.order(told)
            status = int(answer[9:12])
            self.record("order", operation=told.get("Operation"), of=told.get("Identifier", ""), status=status)
            writer.write(answer)
            if status == 409 and told.get("Operation") == "repath" and self.extras_left > 0:
                self.extras_left -= 1
                asyncio.ensure_future(self.send_extra(answer, writer, channel, told.get("Identifier", "")))
        elif target == "/health":
            healthy = 503 if self.draining else 200
            writer.write(http11.response(healthy, [("Dandelionstep-Replica-Identifier", self.options["id"])]))
        elif target == "/drain":
            self.draining = True
            await self.register()
            writer.write(http11.response(200))
        elif "kind" in self.options:
            return await self.stream(head, body, writer, channel)
        else:
            await self.run(head, body, writer)
        await writer.drain()
        return True

    async def send_extra(self, answer, writer, channel, of):
        await asyncio.sleep(self.options.get("extra_ms", 100) / 1000)
        if not channel["answering"] and not writer.is_closing():
            self.record("extra", of=of)
            writer.write(answer)

    async def run(self, head, body, writer):
        attempt = head.get("Dandelionstep-Attempt-Id")
        if self.rest_s:
            rest, self.rest_s = self.rest_s, 0
            self.record("turned away", id=attempt, rest_s=rest)
            writer.write(http11.response(503, [*self.headers(head, False), ("Dandelionstep-Not-Executed", "1"),
                                               ("Retry-After", rest)]))
            return
        self.record("run", id=attempt)
        await asyncio.sleep(self.options.get("run_ms", 20) / 1000)
        writer.write(http11.response(200, self.headers(head, True), b"done " + body))

    def holds_own_part(self, head):
        parts = [one for one in head.get("Dandelionstep-Hop-Count").split(",") if one]
        if not parts:
            return False
        address, _, span = parts[0].partition("=")
        begin, _, end = span.partition("-")
        return (address == self.options["address"] and self.layers[0] <= int(begin)
                and int(end) <= self.layers[1])

    async def stream(self, head, body, writer, channel):
        """The request's body names its pieces, so that another run of it makes the same ones."""
        if self.draining or not self.holds_own_part(head):
            writer.write(self.refusal(503 if self.draining else 421, head))
            await writer.drain()
            return True
        attempt = head.get("Dandelionstep-Attempt-Id")
        pieces = int(head.get("Dandelionstep-Token-Counts").split(",")[1])
        first = int(head.get("Last-Event-Id") or 0) + 1
        self.running[attempt] = head.get("Dandelionstep-Hop-Count")
        try:
            await asyncio.sleep(self.options.get("first_ms", 60) / 1000)
            channel["answering"] = True
            self.record("run", id=attempt, first=first, pieces=pieces, path=self.running[attempt])
            part = self.options.get("crash_part")
            if part and part in head.get("Dandelionstep-Prompt-Prefix"):
                self.record("crash", id=attempt)
                os._exit(70)
            unframed = self.options.get("unframed")
            framing = ("Connection", "close") if unframed else ("Transfer-Encoding", "chunked")
            writer.write(http11.message(
                "HTTP/1.1 200 OK",
                [*self.headers(head, True), ("Content-Type", "text/event-stream"), framing]))
            for number in range(first, pieces + 1):
                event = f"id: {number}\ndata: {body.decode()} {number}\n\n".encode()
                writer.write(event if unframed else b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                if number < pieces:
                    await asyncio.sleep(self.options.get("event_ms", 60) / 1000)
            if not unframed:
                writer.write(b"0\r\n\r\n")
            await writer.drain()
            self.record("ran", id=attempt, last=pieces)
        finally:
            channel["answering"] = False
            self.running.pop(attempt, None)
        return not unframed


async def main():
    options = json.loads(sys.argv[1])
    replica = Replica(options)
    host, port = options["address"].rsplit(":", 1)
    server = await asyncio.start_server(replica.serve, host, int(port), limit=http11.MOST_HEAD * 64)
    print("ready", flush=True)
    replica.record("starts")
    async with server:
        await asyncio.gather(server.serve_forever(), replica.beat())


asyncio.run(main())
