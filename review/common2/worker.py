"""A stand-in for a worker of a service, and what it may do with a request."""

import asyncio
import json
import time

from messages import read_body, read_head, response


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
