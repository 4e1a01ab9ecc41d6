"""Starts a small deployment on loopback: a store, replicas and the project's entry daemons, each a process."""
import asyncio
import base64
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import http11

TOOLS = pathlib.Path(__file__).resolve().parent
ROOT = TOOLS.parent.parent
HOST = "case.example"
KEY = "key-1"
HEARTBEAT_MS = 1200


class CannotRun(Exception):
    """The case could not be set up: exit status 2."""


def settings_text(daemon, zone, store):
    """Like the example of DEPLOY.md, with the bounds of the small sites."""
    address = daemon["address"]
    return f"""
NodeName = "{daemon['name']}"
Role = "entry"
MachineClass = "frontend"
Serves = ["frontend"]
IpAddress = "{address}"
Zone = "{zone}"
Region = "region-a"
InternalPortRange = [{daemon['internal']},{daemon['internal'] + 7}]
SeedNodes = []
Bootstrap = {"true" if daemon["first"] else "false"}
CountedInTolerance = false
Discovery = "platform"
Entry = "virtual_ip"
HeartbeatIntervalMs = {HEARTBEAT_MS}
Contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","layers"]
[Zones]
{zone} = "region-a"
[ListenAddresses]
Frontend = "{address}:{daemon['frontend']}"
Ready = "{address}:{daemon['ready']}"
[Limits]
CpuShare = 0.25
CpuCores = 1
MemoryMb = 260
FileDescriptors = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 1
Regions = 0
[Bounds]
SeedLagS = 3
AddressReuseS = 2
StabilityWindowMs = 3000
AcknowledgeMs = 4000
CatchUpS = 4
DrainMs = 2000
GracePeriodS = 8
LossSlackMs = 200
ConfigurationApplyMs = 2000
RollbackSlackMs = 250
MaxExtensionMs = 5000
StrictRevocation = false
RevocationMs = 5000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
RetryBudgetSlack = 200
RecoveryS = 12
PassMs = 120
RetryAfterS = 0
stall_ms = 3000
RequireFencing = false
[Platform]
Address = "{store}"
form = "table"
WritesPerS = 400
ReadsPerS = 2000
TransactionMs = 5.0
PartitionWritesS = 200
RowBytes = 65536
Across = false
HistoryRetentionS = 20
BlobBytes = 8388608
BlobMs = 25.0
BlobMbS = 80.0
"""


def route(prefix, kind, service, **more):
    made = {"Name": "route" + prefix, "Host": HOST, "Prefix": prefix, "Kind": kind, "TimeoutMs": 20000,
            "TargetLatencyMs": 500, "Priority": 1, "Service": service, "MaxAttempts": 2, "Public": False}
    made.update(more)
    return made


def engine_profile(layers, kinds, load_s):
    """`kinds`: name to megabytes; each layer has 1,000."""
    return {"Slots": 192, "CacheTokenBytes": 80000, "Stride": 1, "Models": [{"Name": "m0", "LoadS": load_s}],
            "step_ms": 1.02, "per_seq_ms": 0.00714, "context_per_k": 0.00956, "read_per_s": 105000.0,
            "usual": {"prompt": 760, "answer": 60}, "Layers": layers, "LayerMb": 1000.0,
            "ActivationBytes": 16384, "LinkMbps": 26000.0, "PipeMbps": 26000.0,
            "Kinds": [{"Name": name, "Megabytes": size, "pace": 1.0, "ReadFactor": 1.0}
                      for name, size in kinds.items()]}


class World:
    def __init__(self, record):
        self.record_path = pathlib.Path(record)
        self.record_path.write_text("", encoding="utf-8")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        # A net of its own, whatever else runs on the machine.
        process = os.getpid()
        self.net = f"127.{16 + process // 200 % 200}.{1 + process % 200}"
        self.hosts = 0
        self.processes = {}
        self.daemons = {}
        self.replicas = {}
        self.store = None
        self.version = 0

    def note(self, what, **fields):
        entry = {"t": round(time.time(), 3), "at": "case", "what": what, **fields}
        with open(self.record_path, "a", encoding="utf-8") as file:
            file.write(json.dumps(entry) + "\n")

    def recorded(self):
        entries = []
        for line in self.record_path.read_text(encoding="utf-8").splitlines():
            try:
                entries.append(json.loads(line))
            except json.JSONDecodeError:
                # A process was killed as it wrote.
                pass
        return entries

    def next_host(self):
        self.hosts += 1
        return f"{self.net}.{self.hosts}"

    @staticmethod
    def free_ports(host, count):
        """Ports that are free at once, each with the seven behind it left to it."""
        while True:
            probes = [socket.socket() for _ in range(count)]
            for probe in probes:
                probe.bind((host, 0))
            ports = [probe.getsockname()[1] for probe in probes]
            for probe in probes:
                probe.close()
            if all(abs(a - b) > 7 for at, a in enumerate(ports) for b in ports[:at]):
                return ports

    def start(self, name, command, **more):
        log = open(self.folder / f"{name}.log", "ab")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment.update(more)
        self.processes[name] = subprocess.Popen(command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                                stdout=log, stderr=log)

    def start_tool(self, name, *arguments):
        self.start(name, [sys.executable, "-B", str(TOOLS / arguments[0]), *arguments[1:]])

    def start_store(self):
        host = self.next_host()
        self.store = f"{host}:{self.free_ports(host, 1)[0]}"
        self.start_tool("store", "store.py", self.store, str(HEARTBEAT_MS))

    def start_replica(self, name, **options):
        """The options of its first start hold for later ones too."""
        if name not in self.replicas:
            host = self.next_host()
            self.replicas[name] = {"id": name, "address": f"{host}:{self.free_ports(host, 1)[0]}", "store": self.store,
                                   "record": str(self.record_path), "heartbeat_ms": HEARTBEAT_MS, **options}
        self.start_tool(name, "replica.py", json.dumps(self.replicas[name]))

    def start_daemon(self, name, zone="zone-a"):
        """Starts the program with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
        command = deploy["roles"]["entry"]["run"].split(" ")
        if not (ROOT / command[0]).exists():
            raise CannotRun(f"{command[0]} has not been built")
        if name not in self.daemons:
            host = self.next_host()
            frontend, ready, internal = self.free_ports(host, 3)
            self.daemons[name] = {"name": name, "address": host, "frontend": frontend, "ready": ready,
                                  "internal": internal, "first": True}
        settings = self.folder / f"{name}.toml"
        settings.write_text(settings_text(self.daemons[name], zone, self.store), encoding="utf-8")
        self.daemons[name]["first"] = False
        self.start(name, command, DANDELIONSTEP_SETTINGS=str(settings))

    def signal(self, name, number):
        self.note("signal", to=name, signal=signal.Signals(number).name)
        self.processes[name].send_signal(number)
        if number == signal.SIGKILL:
            self.processes[name].wait()

    async def write_config(self, routes, services):
        self.version += 3
        config = {"Version": self.version, "Routes": routes, "Services": services,
                  "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 5000,
                             "IdleTimeoutMs": 15000},
                  "Tenants": [{"Name": "tenant-1", "ApiKeys": [KEY]}]}
        value = base64.b64encode(json.dumps(config).encode()).decode()
        row = {"Table": "op", "part": "", "Key": "config", "Value": value}
        body = json.dumps({"ExpectedRevision": [], "Puts": [row], "Remove": []}).encode()
        status, _ = await http11.call(self.store, "POST", "/rows-tx", body)
        if status != 200:
            raise CannotRun("the store did not take the configuration")

    async def until(self, what, is_so, seconds=30):
        ends = time.monotonic() + seconds
        while time.monotonic() < ends:
            try:
                if await is_so():
                    return
            except (OSError, http11.Ended, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        ended = {name: process.poll() for name, process in self.processes.items() if process.poll() is not None}
        raise CannotRun(f"not so in {seconds} s: {what}; processes that have ended: {ended}")

    async def listens(self, address):
        async def reached():
            host, port = address.rsplit(":", 1)
            _, writer = await asyncio.open_connection(host, int(port))
            writer.close()
            return True

        await self.until(f"{address} listens", reached)

    async def ready(self, name):
        daemon = self.daemons[name]

        async def says_so():
            status, _ = await http11.call(f"{daemon['address']}:{daemon['ready']}", "GET", "/readiness")
            return status == 200

        await self.until(f"{name} is ready", says_so)

    async def report(self, name):
        _, body = await http11.call(self.replicas[name]["address"], "GET", "/report")
        return json.loads(body)

    def front(self, name):
        return f"{self.daemons[name]['address']}:{self.daemons[name]['frontend']}"

    def end(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    """What a client saw of one request."""

    def __init__(self):
        self.status = 0
        self.head = None
        self.body = b""
        self.whole = False
        self.left = False
        self.ended = ""


async def ask(world, daemon, method, path, attempt, body=b"", headers=(), patience_ms=20000, gap_s=None):
    """A request over a channel of its own. The client leaves at its deadline, and after a gap of `gap_s`."""
    host, port = world.front(daemon).rsplit(":", 1)
    answer = Answer()
    world.note("sent", id=attempt, to=daemon, path=path)

    async def run():
        reader, writer = await asyncio.open_connection(host, int(port), limit=http11.MOST_HEAD * 64)
        try:
            listed = [("Host", HOST), ("Dandelionstep-Attempt-Id", attempt),
                      ("Dandelionstep-Deadline-Remaining", patience_ms), ("Dandelionstep-Credential", KEY), *headers]
            if body or method == "POST":
                listed.append(("Content-Length", len(body)))
            writer.write(http11.message(f"{method} {path} HTTP/1.1", listed, body))
            await writer.drain()
            answer.head = await asyncio.wait_for(http11.read_head(reader), gap_s)
            if answer.head is None:
                answer.ended = "closed without an answer"
                return
            answer.status = int(answer.head.start.split()[1])
            parts = http11.body_parts(reader, answer.head)
            while True:
                try:
                    answer.body += await asyncio.wait_for(parts.__anext__(), gap_s)
                except StopAsyncIteration:
                    break
            answer.whole = True
            answer.ended = "whole"
        finally:
            writer.close()

    try:
        await asyncio.wait_for(run(), patience_ms / 1000)
    except asyncio.TimeoutError:
        answer.left = True
        answer.ended = "the client left"
    except http11.Ended as error:
        answer.ended = f"broken off {error}"
    except OSError as error:
        answer.ended = f"no connection: {error}"
    signature = answer.head.get("Dandelionstep-Server-Signature") if answer.head else ""
    world.note("answered", id=attempt, status=answer.status, signature=signature, ended=answer.ended,
               bytes=len(answer.body), last=answer.body[-60:].decode("latin-1"))
    return answer


def stream_headers(pieces, prompt=200):
    return [("Dandelionstep-Model", "m0"), ("Dandelionstep-Token-Counts", f"{prompt},{pieces}")]


def pieces_of(body):
    """The ids of the whole events of a stream."""
    found = []
    for event in body.decode("latin-1").split("\n\n")[:-1]:
        for line in event.split("\n"):
            if line.startswith("id: "):
                found.append(int(line[4:]))
    return found


def run_case(run, record):
    """Runs the case and tells its end as the exit status: 0 the rule held, 1 it was broken, 2 not run."""
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    world = World(os.environ.get("RECORD", record))
    broken = None
    try:
        broken = asyncio.run(asyncio.wait_for(run(world), 110))
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        world.note("cannot run", why=str(error) or type(error).__name__)
        print("cannot run:", error or type(error).__name__)
    finally:
        world.end()
    if broken is None:
        sys.exit(2)
    world.note("verdict", broken=broken)
    print("broken:" if broken else "held", *broken)
    sys.exit(1 if broken else 0)
