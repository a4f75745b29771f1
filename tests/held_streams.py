"""Keep long streams open while faults are injected into the processes that carry them."""

import asyncio

from callers import Reply, chat, chat_body, wait_until

from harness.fleet import Fleet

STREAM_TOKENS = 400
EXIT_TIMEOUT_S = 60.0


class HeldStreams:
    """Start long streams and collect their replies."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.tasks: list[asyncio.Task[Reply]] = []
        self._begun: list[asyncio.Event] = []

    def start(self, vm: str, account: str, class_name: str, model: str, **headers: str) -> None:
        """Request one long stream from an entry VM."""
        begun = asyncio.Event()
        body = chat_body(model, STREAM_TOKENS, "Read this lockfile. " * 40)
        address = self.fleet.entries[vm].advertised_caller
        sending = chat(self.fleet, address, account, class_name, body, begun.set, **headers)
        task = asyncio.create_task(sending)
        task.add_done_callback(lambda _: begun.set())
        self.tasks.append(task)
        self._begun.append(begun)

    async def wait_until_started(self) -> None:
        """Return once every stream has delivered its first token or ended."""
        await asyncio.gather(*(begun.wait() for begun in self._begun))

    async def replies(self) -> list[Reply]:
        """Return all replies."""
        return list(await asyncio.gather(*self.tasks))


async def wait_for_exit(fleet: Fleet, vm: str) -> int:
    """Wait for a process to end and return its exit code."""
    process = fleet.processes.running[vm]

    async def has_ended() -> bool:
        return process.poll() is not None

    await wait_until(has_ended, EXIT_TIMEOUT_S)
    return fleet.processes.wait(vm, 1.0)
