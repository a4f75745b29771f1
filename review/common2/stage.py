"""A small deployment on loopback addresses: daemons as processes, a store and workers as stand-ins.

Each run takes a /24 of 127.0.0.0/8 at random, in which every machine has an address of its own.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
FRONT, READY, CONTROL, DIRECTORY, STORE, WORKER = 8144, 8140, 8146, 8143, 8142, 8101
BOUNDS = {
    "SeedLagS": 3,
    "ReuseAfterS": 2,
    "StableMs": 5000,
    "AckMs": 6000,
    "CatchUpS": 4,
    "DrainMs": 3000,
    "GraceS": 8,
    "LossSlackMs": 200,
    "ApplyMs": 3000,
    "DowngradeMs": 250,
    "StretchMaxMs": 8000,
    "BudgetRatio": 0.2,
    "BudgetWindowS": 10,
    "BudgetSlack": 54,
    "ColdOver": 1.5,
    "ColdSlack": 3,
    "EvacuationMs": 5000,
    "RecoverS": 12,
    "PassMs": 600,
    "ReuseWindowS": 10,
    "ttl_max_s": 5,
}
LIMITS = {"HeaderBytes": 16384, "BodyBytes": 4194304, "HeaderMs": 3000, "IdleMs": 15000}
HOST = "desk.example"
DISRUPTED = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class Record:
    """Write what happens, with the seconds since the start, to record.txt of a case."""

    def __init__(self, folder):
        self._file = Path(folder, "record.txt").open("w", encoding="utf-8")  # noqa: SIM115
        self._started = time.monotonic()

    def __call__(self, text):
        line = f"{time.monotonic() - self._started:8.3f}  {text}"
        print(line, file=self._file, flush=True)


async def read_head(reader):
    """Return the first line and the headers (lower case) of a message; None at the end."""
    raw = await reader.readuntil(b"\r\n\r\n")
    first, *lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunks(reader):
    """Yield the chunks of a chunked body; IncompleteReadError if it is cut."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


async def read_body(reader, headers):
    """Return the whole body of a request."""
    if "chunked" in headers.get("transfer-encoding", ""):
        return b"".join([chunk async for chunk in read_chunks(reader)])
    return await reader.readexactly(int(headers.get("content-length", "0")))


def response(status, headers=(), body=b""):
    """Return the bytes of a complete answer."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's store: items with revisions, ranges and watches."""

    def __init__(self, address, record):
        self.address, self.record = address, record
        self.revision, self.items, self.log = 7, {}, []
        self._changed = asyncio.Event()
        self._server = None

    async def start(self):
        host, port = self.address.split(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def put(self, key, value):
        self.revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        created = self.items[key]["Created"] if key in self.items else self.revision
        item = {
            "Key": key,
            "Value": text,
            "Revision": self.revision,
            "Created": created,
            "Lease": 0,
        }
        self.items[key] = item
        self._append(item)

    def delete(self, key):
        self.revision += 1
        self.items.pop(key, None)
        self._append({"Key": key, "Revision": self.revision, "Tombstone": True})

    def _append(self, event):
        self.log.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                await read_body(reader, headers)
                status, body = await self._answer(first.split(" ")[1])
                data = json.dumps(body).encode()
                writer.write(response(status, ("Content-Type: application/json",), data))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, target):
        from urllib.parse import parse_qs, urlsplit

        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/kv-key":
            item = self.items.get(query["Key"])
            if item is None:
                return 404, {"StoreRevision": self.revision}
            return 200, item | {"StoreRevision": self.revision}
        if parts.path == "/kv-range":
            prefix, after = query.get("Prefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            items = [self.items[k] for k in keys]
            return 200, {"items": items, "HasMore": False, "StoreRevision": self.revision}
        if parts.path == "/kv-watch":
            return 200, await self._watch(query)
        return 404, {}

    async def _watch(self, query):
        prefix, after = query.get("Prefix", ""), int(query.get("after", "0"))
        until = time.monotonic() + min(30000, int(query.get("WaitMs", "0"))) / 1000
        while True:
            events = [e for e in self.log if e["Revision"] > after and e["Key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return {"events": events, "StoreRevision": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)


class Worker:
    """A worker of a service; `run` is called for each request that it runs."""

    def __init__(self, id_, address, service, zone, record, slots=16, version="1"):
        self.id, self.address, self.service, self.zone = id_, address, service, zone
        self.record, self.slots, self.version = record, slots, version
        self.running, self.runs, self.arrivals = 0, [], []
        self.handler = None
        self.streams = False
        self._server = None
        self.writers = set()

    async def start(self):
        host, port = self.address.split(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def entry(self, state="ready", **more):
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": self.version,
            "Slots": self.slots,
            "State": state,
            "ColdLeftMs": 0,
            "Sequence": 1,
            "Stage": "combined",
            "born": 1700000000000,
            "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
        } | more

    def stop(self):
        if self._server:
            self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = first.split(" ")
                if not await self._handle(method, target, headers, body, reader, writer):
                    return
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _handle(self, method, target, headers, body, reader, writer):
        own = f"Pomelobarrow-Instance-Id: {self.id}"
        load = f"Pomelobarrow-Server-Load: {self.running},0,{self.slots}"
        expected = headers.get("pomelobarrow-target-instance")
        if expected not in (None, self.id):
            writer.write(response(421, (own,)))
            return True
        if method == "GET" and target == "/report":
            report = {
                "Stage": "combined",
                "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
                "Busy": False,
                "Sequence": 0,
                "Waiting": 0,
                "Running": self.running,
                "KvUsed": 1000 * self.running,
                "KvTotal": 400000,
                "Handles": 0,
                "born": 1700000000000,
            }
            writer.write(
                response(200, ("Content-Type: application/json",), json.dumps(report).encode())
            )
            return True
        if method == "GET" and target == "/health":
            writer.write(response(200, (own, load)))
            return True
        if method == "GET" and target.startswith("/kv-"):
            empty = {"epoch": 1, "Next": 0, "lost": False, "events": [], "held": []}
            await asyncio.sleep(0.5)
            writer.write(
                response(200, ("Content-Type: application/json",), json.dumps(empty).encode())
            )
            return True
        id_ = headers.get("pomelobarrow-request-id")
        if not id_:
            writer.write(response(400, (own, "Pomelobarrow-Not-Executed: 1")))
            return True
        if self.running >= self.slots:
            writer.write(
                response(
                    503, (own, "Pomelobarrow-Not-Executed: 1", f"Pomelobarrow-Request-Id: {id_}")
                )
            )
            return True
        self.running += 1
        run = {
            "id": id_,
            "from": time.monotonic(),
            "until": None,
            "end": "at work",
            "target": target,
            "body": body,
            "headers": headers,
            "worker": self.id,
        }
        self.runs.append(run)
        self.record(f"{self.id} runs {id_}: {method} {target}, body {len(body)} B")
        work = asyncio.ensure_future(self.handler(self, run, headers, body, writer))
        gone = asyncio.ensure_future(reader.read(1))
        try:
            await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                # Workers drop a request when its connection closes.
                work.cancel()
                run["end"] = "dropped: its connection closed"
            else:
                run["end"] = work.result() or "answered"
        except Exception as error:
            run["end"] = f"failed: {error!r}"
        finally:
            gone.cancel()
            self.running -= 1
            run["until"] = time.monotonic()
            self.record(f"{self.id} ends {id_}: {run['end']}")
        return run["end"] == "answered"

    def head_lines(self, id_, seal="s"):
        return (
            f"Pomelobarrow-Request-Id: {id_}",
            f"Pomelobarrow-Response-Seal: {self.id}.{seal}",
            f"Pomelobarrow-Server-Load: {self.running},0,{self.slots}",
        )


def answer_after(work_s):
    """Return a handler that works for a time and answers with its id."""

    async def handle(worker, run, headers, body, writer):
        await asyncio.sleep(work_s)
        text = f"{worker.id}:{run['id']}:{len(body)}".encode()
        writer.write(response(200, worker.head_lines(run["id"]), text))
        await writer.drain()

    return handle


def stream_of(events, gap_s):
    """Return a handler that sends numbered events, the last one named end."""

    async def handle(worker, run, headers, body, writer):
        lines = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            *worker.head_lines(run["id"]),
        ]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        first = int(headers.get("last-event-id") or 0) + 1
        for number in range(first, events + 1):
            await asyncio.sleep(gap_s)
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    return handle


class Machine:
    """A front machine and its daemon."""

    def __init__(self, stage, name, ip, zone):
        self.stage, self.name, self.ip, self.zone = stage, name, ip, zone
        self.process = None
        # True for the first start of the whole system.
        self.is_first_start = True
        self.path = Path(stage.folder) / f"{name}.yaml"

    def settings(self):
        stage = self.stage
        return {
            "Node": self.name,
            "Role": "gateway",
            "MachineClass": "front",
            "Serves": ["front", "control", "directory"],
            "Ip": self.ip,
            "Zone": self.zone,
            "Region": stage.zones[self.zone],
            "Zones": stage.zones,
            "Listen": {
                "Front": f"{self.ip}:{FRONT}",
                "Ready": f"{self.ip}:{READY}",
                "Control": f"{self.ip}:{CONTROL}",
                "Directory": f"{self.ip}:{DIRECTORY}",
            },
            "InternalPorts": [7660, 7675],
            "Seeds": [f"{m.ip}:{CONTROL}" for m in stage.machines[:3]],
            "Bootstrap": self.is_first_start,
            "CountsAsLoss": False,
            "Limits": {
                "CpuShare": 0.537,
                "Cores": 2,
                "MemoryMb": 300,
                "FileDescriptors": 4100,
                "LinkMbps": 1000.0,
                "DiskMb": 0,
            },
            "DataDir": None,
            "Discovery": "platform",
            "Entry": "directory",
            "HeartbeatMs": 1200,
            "Contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "retry",
                "recover",
                "engine",
                "stream",
                "places",
                "platform",
            ],
            "FaultTolerance": {"Machines": 2, "Zones": 1, "Regions": 1},
            "Bounds": stage.bounds,
            "Platform": {
                "Address": stage.store_address(self),
                "form": "read",
                "WritesPerS": 400,
                "ReadsPerS": 2000,
                "HistoryS": 20,
                "ValueBytes": 1048576,
                "TtlMinMs": 1000,
            },
        }

    def write_settings(self):
        self.path.write_text(json.dumps(self.settings()), encoding="utf-8")

    def start(self):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = deploy["roles"]["gateway"]["run"].split(" ")
        if words[0] == "python3":
            words[0] = sys.executable
        self.write_settings()
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= {"POMELOBARROW_SETTINGS": str(self.path), "PYTHONPATH": str(ROOT / "target/deps")}
        with Path(self.stage.folder, f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=env, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )
        self.stage.record(f"{self.name} started ({self.ip}, {self.zone})")

    def signal(self, number):
        self.stage.record(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def lose_power(self, for_s):
        """Stay dark for a while and start again.

        A stopped process answers nothing, as a machine without power; a killed one would reset
        its connections.
        """
        self.signal(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        self.signal(signal.SIGKILL)
        self.process.wait()
        self.is_first_start = False
        self.start()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ip, READY), 0.5)
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.5)
            writer.close()
            return b" 200 " in line
        except (OSError, TimeoutError):
            return False


class Stage:
    """All of a case: machines, workers and the store."""

    def __init__(self, folder, zones):
        self.case = Path(folder)
        self.record = Record(folder)
        self.zones, self.bounds = zones, dict(BOUNDS)
        self.net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = self._temporary.name
        self.machines, self.workers = [], []
        self.store = Store(f"{self.net}.250:{STORE}", self.record)
        self.store_address = lambda machine: self.store.address
        self.routes, self.services, self.version, self.extra = [], [], 3, {}

    def machine(self, zone):
        in_zone = 1 + sum(machine.zone == zone for machine in self.machines)
        ip = f"{self.net}.{len(self.machines) + 1}"
        machine = Machine(self, f"front-{zone}-{in_zone}", ip, zone)
        self.machines.append(machine)
        return machine

    def worker(self, service, zone, handler, **options):
        number = 100 + len(self.workers)
        worker = Worker(
            f"i-{number:04x}",
            f"{self.net}.{number}:{WORKER}",
            service,
            zone,
            self.record,
            **options,
        )
        worker.handler = handler
        self.workers.append(worker)
        return worker

    def service(self, name, **more):
        self.services.append(
            {
                "Name": name,
                "HealthPath": "/health",
                "MaxConnections": 360,
                "ColdPerS": 0,
                "ColdS": 0,
            }
            | more
        )

    def route(self, name, prefix, kind, service, timeout_ms=6000, goal_ms=1000, **more):
        self.routes.append(
            {
                "Name": name,
                "Host": HOST,
                "Prefix": prefix,
                "Kind": kind,
                "Service": service,
                "Attempts": 3,
                "TimeoutMs": timeout_ms,
                "GoalMs": goal_ms,
                "Priority": 1,
            }
            | more
        )

    def publish(self):
        self.version += 4
        self.store.put(
            "op/config",
            {
                "Version": self.version,
                "Routes": self.routes,
                "Services": self.services,
                "Limits": LIMITS,
            }
            | self.extra,
        )
        self.record(f"the store acknowledges configuration {self.version}")

    async def start(self, timeout_s=25):
        await self.store.start()
        for worker in self.workers:
            await worker.start()
            self.store.put(f"servers/{worker.id}", worker.entry())
        self.publish()
        for machine in self.machines:
            machine.start()
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if all([await machine.is_ready() for machine in self.machines]):
                self.record("all machines are ready")
                return
            await asyncio.sleep(0.2)
        raise RuntimeError("the machines didn't become ready")

    def end(self):
        for machine in self.machines:
            if machine.process and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        if os.environ.get("KEEP_LOGS"):
            import shutil

            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        self._temporary.cleanup()


def new_id():
    return f"{random.getrandbits(64):016x}"


def request_head(method, path, id_, deadline_ms, body_bytes=None, more=()):
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Pomelobarrow-Request-Id: {id_}",
        f"Pomelobarrow-Request-Deadline: {deadline_ms}",
        *more,
    ]
    if body_bytes is not None:
        lines.append(f"Content-Length: {body_bytes}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def read_answer(reader):
    """Return the status, headers and body of an answer; the body is None if it was cut."""
    first, headers = await read_head(reader)
    status = int(first.split(" ")[1])
    body = b""
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            async for chunk in read_chunks(reader):
                body += chunk
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return status, headers, None
    return status, headers, body


def play(folder, scenario, limit_s=110):
    """Run a scenario; exit with its result."""

    async def main():
        stage = None
        try:
            stage = scenario.build(folder)
            async with asyncio.timeout(limit_s):
                await stage.start()
                return await scenario.run(stage)
        except Exception as error:
            import traceback

            if stage:
                stage.record("could not run: " + traceback.format_exc())
            print(repr(error), file=sys.stderr)
            return COULD_NOT_RUN
        finally:
            if stage:
                stage.end()

    sys.exit(asyncio.run(main()))
