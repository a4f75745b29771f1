"""Simulate the platform: configuration, VM list and directory."""

import asyncio
import base64
import enum
import time
from pathlib import Path
from typing import Any

import orjson
from aiohttp import web
from attrs import define, field, frozen

from pomelobarrow.standin.keyspace import Change, Keyspace, RevisionTooLargeError
from pomelobarrow.standin.read_limit import ReadLimit
from pomelobarrow.standin.runtime import (
    Handler,
    is_admin_request,
    json_response,
    read_json,
    serve_app,
)

KEYSPACES = ("config", "vms")
MS_PER_S = 1_000.0
MAX_WAIT_S = 300.0
ERA_HEADER = "Store-Era"


class Mode(enum.Enum):
    """Fault mode of the platform."""

    UP = "up"
    DOWN = "down"
    STALE = "stale"
    SLOW = "slow"
    REVERT = "revert"
    # The store comes back with its keyspaces as of a revision, in a new era.
    RETURN = "return"


@frozen(kw_only=True)
class PlatformOptions:
    """Command-line options of the simulated platform."""

    listen: str = field(metadata={"help": "Address to listen on, host:port"})
    seed_file: str = field(default="", metadata={"help": "JSON file published as revision 1"})
    max_reads_per_s: float = field(default=2000.0, metadata={"help": "Reads a second allowed"})
    vms_lag_s: float = field(default=0.0, metadata={"help": "Seconds the VM list lags behind"})


@define
class Platform:
    """Simulated platform: keyspaces, fault mode and waiting reads."""

    limit: ReadLimit
    lag_s_by_keyspace: dict[str, float]
    keyspaces: dict[str, Keyspace] = field(factory=lambda: {name: Keyspace() for name in KEYSPACES})
    mode: Mode = Mode.UP
    delay_s: float = 0.0
    frozen_revisions: dict[str, int] = field(factory=dict)
    waiting: int = 0
    era: int = 1
    changed: asyncio.Event = field(factory=asyncio.Event)

    def publish(self, name: str, changes: dict[str, Any]) -> int:
        """Publish one revision and reveal it after the keyspace's lag."""
        keyspace = self.keyspaces[name]
        revision = keyspace.publish(changes)
        loop = asyncio.get_running_loop()
        loop.call_later(self.lag_s_by_keyspace.get(name, 0.0), self._reveal, name, revision)
        return revision

    def _reveal(self, name: str, revision: int) -> None:
        self.keyspaces[name].reveal(revision)
        self.notify()

    def notify(self) -> None:
        """Wake every waiting read."""
        self.changed.set()
        self.changed = asyncio.Event()

    def readable_revision(self, name: str) -> int:
        """Return the head revision that readers see."""
        visible = self.keyspaces[name].visible_revision
        return self.frozen_revisions.get(name, visible) if self.mode is Mode.STALE else visible

    def set_mode(self, mode: Mode, *, delay_s: float, revision: int | None, keyspace: str) -> None:
        """Change the mode and wake the waiting reads, so that it applies to them at once."""
        self.frozen_revisions = {
            name: space.visible_revision for name, space in self.keyspaces.items()
        }
        if mode is Mode.STALE and revision is not None:
            self.frozen_revisions[keyspace] = revision
        if mode is Mode.RETURN:
            self.era += 1
        if mode in (Mode.REVERT, Mode.RETURN):
            self.keyspaces[keyspace].revert(revision or 0)
        self.mode = mode
        self.delay_s = delay_s
        self.notify()


def fault_middleware(platform: Platform) -> Any:
    """Build the middleware that counts and limits reads and simulates outages and delays."""

    @web.middleware
    async def apply_faults(request: web.Request, handler: Handler) -> web.StreamResponse:
        if is_admin_request(request):
            return await handler(request)
        if platform.mode is Mode.DOWN:
            return json_response({"error": "down"}, status=503)
        if not platform.limit.try_acquire(time.monotonic()):
            return json_response({"error": "too many reads"}, status=429)
        if platform.mode is Mode.SLOW:
            await asyncio.sleep(platform.delay_s)
        return await handler(request)

    return apply_faults


def era_header_signal(platform: Platform) -> Any:
    """Build the signal handler that adds the store's era to the response headers."""

    async def add_era_header(request: web.Request, response: web.StreamResponse) -> None:
        response.headers[ERA_HEADER] = str(platform.era)

    return add_era_header


async def wait_for_newer(platform: Platform, name: str, after: int, wait_s: float) -> None:
    """Wait until the head passes a revision, the store goes down or returns, or time is up."""
    platform.waiting += 1
    era = platform.era
    try:
        async with asyncio.timeout(min(wait_s, MAX_WAIT_S)):
            while (
                platform.mode is not Mode.DOWN
                and platform.era == era
                and platform.readable_revision(name) <= after
            ):
                await platform.changed.wait()
    except TimeoutError:
        pass
    finally:
        platform.waiting -= 1


def routes(platform: Platform) -> list[web.RouteDef]:
    """Return the routes of the platform."""

    async def list_items(request: web.Request) -> web.Response:
        name = _requested_keyspace(request)
        revision = platform.readable_revision(name)
        after = _published_key(name, request.query.get("after", ""))
        page = platform.keyspaces[name].page_after(after, revision)
        items = [_item(name, change) for change in page.changes]
        return json_response({"items": items, "HasMore": page.has_more, "StoreRevision": revision})

    async def watch(request: web.Request) -> web.Response:
        name = _requested_keyspace(request)
        after = int(request.query["after"])
        wait_s = int(request.query.get("WaitMs", "0")) / MS_PER_S
        era = platform.era
        await wait_for_newer(platform, name, after, wait_s)
        if platform.mode is Mode.DOWN:
            return json_response({"error": "down"}, status=503)
        if platform.era != era or (era > 1 and after > platform.readable_revision(name)):
            return json_response({"error": "no such revision"}, status=410)
        changes = platform.keyspaces[name].changes_after(after, platform.readable_revision(name))
        events = [_item(name, change) for change in changes.changes]
        return json_response({"events": events, "StoreRevision": changes.head_revision})

    async def read_directory(request: web.Request) -> web.Response:
        values = platform.keyspaces["vms"].values(platform.readable_revision("vms"))
        vms = [
            {
                "name": key.removeprefix("vms/"),
                "region": vm["region"],
                "caller_address": vm["caller_address"],
            }
            for key, vm in values.items()
            if vm["role"] == "entry"
        ]
        return json_response({"vms": vms})

    async def publish(request: web.Request) -> web.Response:
        body = await read_json(request)
        try:
            revision = platform.publish(body["keyspace"], body["changes"])
        except RevisionTooLargeError as error:
            return json_response({"error": str(error)}, status=413)
        return json_response({"revision": revision})

    async def set_mode(request: web.Request) -> web.Response:
        body = await read_json(request)
        platform.set_mode(
            Mode(body["mode"]),
            delay_s=float(body.get("delay_s", 0.0)),
            revision=body.get("revision"),
            keyspace=body.get("keyspace", "config"),
        )
        return json_response({"mode": platform.mode.value})

    async def counters(request: web.Request) -> web.Response:
        limit = platform.limit
        return json_response(
            {"reads": limit.reads, "refused": limit.refused, "waiting": platform.waiting}
        )

    return [
        web.get("/kv-range", list_items),
        web.get("/kv-watch", watch),
        web.get("/v1/directory", read_directory),
        web.post("/admin/publish", publish),
        web.post("/admin/mode", set_mode),
        web.get("/admin/counters", counters),
    ]


def _requested_keyspace(request: web.Request) -> str:
    """Return the keyspace named by the query's prefix."""
    name = request.query.get("Prefix", "").removesuffix("/")
    if name not in KEYSPACES:
        raise web.HTTPNotFound(text=f"no such keyspace; read one of {', '.join(KEYSPACES)}")
    return name


def _published_key(name: str, stored_key: str) -> str:
    """Return the key as it was published; keys of VMs begin with the keyspace's name."""
    return stored_key if name == "vms" else stored_key.removeprefix(f"{name}/")


def _item(name: str, change: Change) -> dict[str, Any]:
    key = change.key if change.key.startswith(f"{name}/") else f"{name}/{change.key}"
    if change.value is None:
        return {"Key": key, "Revision": change.revision, "Tombstone": True}
    value = base64.b64encode(orjson.dumps(change.value)).decode()
    return {"Key": key, "Revision": change.revision, "Value": value}


def publish_seed(platform: Platform, seed_file: str) -> None:
    """Publish the keyspaces of a seed file as their first revision, visible at once."""
    for name, changes in orjson.loads(Path(seed_file).read_bytes()).items():
        platform.keyspaces[name].reveal(platform.keyspaces[name].publish(changes))


async def main(options: PlatformOptions) -> None:
    """Serve the platform until the process is stopped."""
    limit = ReadLimit(max_reads_per_s=options.max_reads_per_s)
    platform = Platform(limit, {"vms": options.vms_lag_s})
    if options.seed_file:
        publish_seed(platform, options.seed_file)
    app = web.Application(middlewares=[fault_middleware(platform)])
    app.on_response_prepare.append(era_header_signal(platform))
    app.add_routes(routes(platform))
    await serve_app(app, options.listen, cancel_on_disconnect=True)
