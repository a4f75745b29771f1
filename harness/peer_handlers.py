"""Peer handlers of which only one or two are needed."""

from typing import Any

from pomelobarrow.peers.peers_grpc import PeerBase


class PeerHandlersStub(PeerBase):
    """Answer no call; whoever needs some replaces their methods."""

    async def Exchange(self, stream: Any) -> None:  # noqa: N802
        raise NotImplementedError

    async def Forward(self, stream: Any) -> None:  # noqa: N802
        raise NotImplementedError

    async def Resume(self, stream: Any) -> None:  # noqa: N802
        raise NotImplementedError

    async def Cancel(self, stream: Any) -> None:  # noqa: N802
        raise NotImplementedError

    async def HandOver(self, stream: Any) -> None:  # noqa: N802
        raise NotImplementedError
