"""Bind each stream to the software that began it, and determine that of streams taken up again."""

import asyncio
import enum
from collections.abc import Awaitable, Callable, Mapping

from attrs import define, field
from result import Err, Ok, Result

from pomelobarrow.decision.common.errors import ErrorKind, Refusal, RunStatus
from pomelobarrow.decision.published.routing import Route
from pomelobarrow.decision.requests.work import BackendServer
from pomelobarrow.decision.streams.software_history import (
    StreamTarget,
    only_software,
    software_key,
)
from pomelobarrow.decision.streams.stream_software import (
    UNKNOWN_SOFTWARE,
    StreamSoftware,
    stream_key,
)
from pomelobarrow.dispatch.refusals import refuse
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.peers.peers_knowledge import PeersKnowledge
from pomelobarrow.published.shared_read import no_read
from pomelobarrow.relay.events import StreamTakenUp
from pomelobarrow.relay.messages import RequestHead, ServerAnswerHead
from pomelobarrow.relay.progress import RequestProgress

SOFTWARE_UNKNOWN = "no VM knows which software version began the stream"
NO_SERVER_LISTED = "this VM lists no server that the stream could go on at"
NOT_JOINED = "this VM has just started and has not reached its peers, which may know the stream"
OTHER_SOFTWARE = "a server of another software version than the one that began the stream answered"

# A VM that has just started reaches its peers within some hundred milliseconds. After a power loss,
# clients take up their streams before that.
JOINING_WAIT_S = 0.5
CHECK_EVERY_S = 0.02


class SoftwareSource(enum.Enum):
    """Enumerate how the software of a stream that a client takes up is known."""

    STATED = "the VM that forwards the request"
    RECORDED = "a record of the stream"
    ASSUMED = "the only version at that time"
    ASSUMED_BY_PEERS = "the only version at that time, as peers know"
    UNKNOWN = "unknown"


@define(kw_only=True)
class StreamJoins:
    """Let a stream go on only at servers of the software that sent its first event."""

    streams: StreamSoftware = field(factory=StreamSoftware)

    def software_of_peer(self, head: ServerAnswerHead) -> int:
        """Return the software of a peer's server; peers of an earlier release don't state it."""
        return UNKNOWN_SOFTWARE if head.software_key is None else head.software_key

    def fault(self, progress: RequestProgress, software: int) -> str:
        """Return why a server's events don't fit the stream; empty if they do."""
        is_fitting = progress.software_key in (None, software)
        return "" if is_fitting else OTHER_SOFTWARE

    def bind(self, progress: RequestProgress, software: int) -> None:
        """Record the software before the client gets the first event of this attempt."""
        progress.software_key = software
        request = progress.request
        is_taken_up_here = request.route.is_resumable and not request.forwarded_by
        # Nobody can name a request without an id.
        is_named = bool(request.work.request_id)
        if is_taken_up_here and is_named and software != UNKNOWN_SOFTWARE:
            self.streams.note_began(
                request.work.request_id, request.stream_target, software, now_unix_s()
            )

    def note_complete(self, progress: RequestProgress) -> None:
        """Forget a stream that the client has received whole."""
        if progress.software_key is not None:
            self.streams.note_complete(progress.request.work.request_id)


@define(kw_only=True)
class ResumedStreams:
    """Determine at which software a stream that a client takes up may go on."""

    streams: StreamSoftware = field(factory=StreamSoftware)
    servers: Callable[[], Mapping[str, BackendServer]] = dict
    # Asks peers for the software of the stream of a request id and target; the last argument states
    # whether it is certain without a record.
    ask_peers: Callable[[str, StreamTarget, bool], Awaitable[PeersKnowledge]] | None = None
    # Returns whether this VM has reached the peers that it can reach.
    is_joined: Callable[[], bool] = lambda: True
    # Returns the age of the evidence that this VM's list of servers is the newest one.
    list_age_s: Callable[[float], float] = lambda now_unix_s: 0.0
    # Returns once a read of the store has ended that began after the call, or its time has passed.
    read_lists: Callable[[], Awaitable[None]] = no_read
    observe: Callable[[object], None] = lambda event: None

    async def bind(
        self, head: RequestHead, target: StreamTarget, route: Route, pool: str, stated: int | None
    ) -> Result[tuple[str, int | None], Refusal]:
        """Return the pool and the software for a request, or a refusal if they aren't certain.

        The software is None for a new stream. A peer that forwards the request states it.
        """
        if not route.is_stream or not head.last_event_id:
            return Ok((pool, None))
        software, source, found = await self._software(head, target, stated)
        history, now = self.streams.history, now_unix_s()
        listed = history.recent(pool, now)
        self.observe(
            StreamTakenUp(
                request_id=head.request_id,
                route=route.name,
                pool=pool,
                resumes=head.resumes,
                resume_after=head.last_event_id,
                versions_listed=len(listed),
                list_known_for_s=history.known_for_s(now),
                list_age_s=self.list_age_s(now),
                vms_asked=found.asked,
                histories_stated=len(found.histories),
                source=source.value,
            )
        )
        if software is not None:
            return Ok((await self._listed_pool(software, route) or pool, software))
        if not listed:
            return Err(refuse(ErrorKind.NOT_READY, RunStatus.NO, NO_SERVER_LISTED))
        if not self.is_joined():
            return Err(refuse(ErrorKind.NOT_READY, RunStatus.NO, NOT_JOINED))
        return Err(refuse(ErrorKind.NOT_RESUMABLE, RunStatus.NO, SOFTWARE_UNKNOWN))

    async def _software(
        self, head: RequestHead, target: StreamTarget, stated: int | None
    ) -> tuple[int | None, SoftwareSource, PeersKnowledge]:
        if stated is not None:
            return stated, SoftwareSource.STATED, PeersKnowledge()
        # The stream began before that, with any version that was listed until then.
        asked_unix_s = now_unix_s()
        is_certain = self.streams.history.assumed(target, asked_unix_s) is not None
        if not is_certain:
            await self._wait_until_joined()
        found = await self._find(head, target, is_certain)
        if found.software_key is not None:
            return found.software_key, SoftwareSource.RECORDED, found
        # A list that has arrived in the meantime counts.
        history = self.streams.history
        own = history.statement(target, now_unix_s(), asked_unix_s)
        assumed = only_software((own, *found.histories), history.retention_s)
        if assumed is None:
            return None, SoftwareSource.UNKNOWN, found
        is_own = only_software((own,), history.retention_s) is not None
        source = SoftwareSource.ASSUMED if is_own else SoftwareSource.ASSUMED_BY_PEERS
        return assumed, source, found

    async def _wait_until_joined(self) -> None:
        """Wait for the peers of a VM that has just started, which may know the stream."""
        give_up_unix_s = now_unix_s() + JOINING_WAIT_S
        while not self.is_joined() and now_unix_s() < give_up_unix_s:
            await asyncio.sleep(CHECK_EVERY_S)

    async def _find(
        self, head: RequestHead, target: StreamTarget, is_certain: bool
    ) -> PeersKnowledge:
        # Peers also state which versions they have listed, if the client names no request.
        if self.ask_peers is not None:
            return await self.ask_peers(head.resumes, target, is_certain)
        return PeersKnowledge(software_key=self.streams.software_of(stream_key(head.resumes)))

    async def _listed_pool(self, software: int, route: Route) -> str:
        """Return the pool of a software, which this VM may not have listed yet."""
        if not self._pool_of(software, route):
            await self.read_lists()
        return self._pool_of(software, route)

    def _pool_of(self, software: int, route: Route) -> str:
        """Return the route's pool that has servers of this software; empty if none has."""
        pools = {share.pool for share in route.pools}
        fitting = (
            server.pool
            for server in self.servers().values()
            if server.pool in pools and software_key(server) == software
        )
        return next(fitting, "")
