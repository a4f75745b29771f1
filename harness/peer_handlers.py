"""Base class for peer handlers that implement only some methods."""

from typing import Any

from pomelobarrow.peers.peers_grpc import PeerBase


class PeerHandlersStub(PeerBase):
    """Peer handlers that implement no method; subclasses override those that they need."""

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
