"""Send orders to engines to match the published configuration."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

import aiohttp
import orjson
import structlog
from mode import Service

from pomelobarrow.backends.answer_buffers import read_limited
from pomelobarrow.backends.sessions import BackendSessions, describe_error
from pomelobarrow.decision.common.bounded import UINT64_MAX, count_or_none
from pomelobarrow.decision.published.configuration import Configuration
from pomelobarrow.decision.requests.orders import FencedOrders, Order, OrderBook
from pomelobarrow.decision.requests.work import BackendServer
from pomelobarrow.kernel.background import background_task
from pomelobarrow.kernel.clock import now_unix_s

ORDERS_PATH = "/v1/orders"
CHECK_EVERY_S = 1.0
# Shorter than an order's lifetime, so that no order is in transit when a new owner starts.
SEND_TIMEOUT_S = 2.0
STATUS_ACCEPTED = 200
STATUS_OUTDATED_FENCING = 409

log = structlog.get_logger(__name__)


class OrderSender(Service):
    """Send the published configuration as orders to the engines that this VM owns."""

    def __init__(
        self,
        *,
        book: OrderBook,
        sessions: BackendSessions,
        owned: Callable[[], Iterable[BackendServer]],
        configuration: Callable[[], Configuration | None],
    ) -> None:
        super().__init__()
        self._book = book
        self._sessions = sessions
        self._owned = owned
        self._configuration = configuration

    @background_task
    async def _keep_sending(self) -> None:
        while not self.should_stop:
            configuration = self._configuration()
            if configuration is not None:
                for due in self._book.due(self._owned(), configuration, now_unix_s()):
                    await self._send_all(due)
            await asyncio.sleep(CHECK_EVERY_S)

    async def _send_all(self, due: FencedOrders) -> None:
        for order in due.orders:
            if not await self._send(due, order):
                return
        self._book.observe_accepted(due)
        log.info("orders accepted", server=due.server.name, revision=due.revision)

    async def _send(self, due: FencedOrders, order: Order) -> bool:
        # After a pause in the middle of sending, another VM may have replaced these orders.
        # Expired ones are dropped here, regardless of what the engine checks.
        if now_unix_s() >= due.expires_unix_s:
            return False
        url = self._sessions.url(due.server.address, ORDERS_PATH)
        timeout = aiohttp.ClientTimeout(total=SEND_TIMEOUT_S)
        try:
            async with self._sessions.fresh.post(
                url,
                data=orjson.dumps(_body(due, order)),
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                answer = orjson.loads(await read_limited(response.content))
                return self._handle_answer(due, response.status, answer)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            log.warning("order not sent", server=due.server.name, error=describe_error(error))
            return False

    def _handle_answer(self, due: FencedOrders, status: int, answer: object) -> bool:
        if status == STATUS_OUTDATED_FENCING:
            stated = answer.get("fencing") if isinstance(answer, dict) else None
            fencing = count_or_none(stated, UINT64_MAX)
            self._book.observe_highest_fencing(due.server.name, fencing or 0)
        return status == STATUS_ACCEPTED


def _body(due: FencedOrders, order: Order) -> dict[str, Any]:
    body: dict[str, Any] = {"order": order.kind.value, "fencing": due.fencing}
    fields = {"model": order.model, "version": order.version, "role": order.role}
    body["expires_unix_s"] = due.expires_unix_s
    return body | {name: value for name, value in fields.items() if value}
