"""Start processes, wait until they are ready, and end just those."""

import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from attrs import define, field

STOP_TIMEOUT_S = 5.0
# Below the range that the system gives to outgoing connections, which would take a port first.
PORT_RANGE = range(12_000, 32_000)
BLOCK_PORTS = 400
# Held until this process ends: the first port of its block, and the block's next port to try.
_guards: list[socket.socket] = []
_next_ports: list[int] = []


def free_ports(count: int) -> list[int]:
    """Return ports that nothing listens on now, from a block of this process's own.

    Two harnesses that drew from one range took the same port in the seconds between the choice
    and the daemon's start, which then failed. Nobody else draws from a guarded block.
    """
    if not _guards:
        _take_block()
    first = _guards[0].getsockname()[1]
    ports: list[int] = []
    for _ in range(len(_next_ports)):
        port = _next_ports.pop(0)
        _next_ports.append(port)
        if _is_free(port):
            ports.append(port)
        if len(ports) == count:
            return ports
    raise RuntimeError(f"fewer than {count} free ports from {first} on: stop what listens there")


def _take_block() -> None:
    firsts = list(PORT_RANGE[::BLOCK_PORTS])
    random.Random(os.urandom(8)).shuffle(firsts)
    for first in firsts:
        guard = socket.socket()
        try:
            guard.bind(("127.0.0.1", first))
        except OSError:
            guard.close()
            continue
        _guards.append(guard)
        _next_ports.extend(range(first + 1, first + BLOCK_PORTS))
        return
    raise RuntimeError("every block of ports is taken: end the other harnesses")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
        return True


@define
class Processes:
    """Hold the processes started here, by name, and a folder for their files."""

    folder: Path = field(factory=lambda: Path(tempfile.mkdtemp(prefix="pomelobarrow-")))
    running: dict[str, "subprocess.Popen[bytes]"] = field(factory=dict)

    def start(
        self, name: str, arguments: Iterable[str], announces: bool = True
    ) -> "subprocess.Popen[bytes]":
        """Start a module of this project; its log goes to the folder.

        Stand-ins announce on standard output where they listen; daemons log there.
        """
        with (self.folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                stdout=subprocess.PIPE if announces else log,
                stderr=log,
            )
        self.running[name] = process
        return process

    def announcement(self, name: str) -> dict[str, Any]:
        """Return the line by which a stand-in says that it is ready, waiting for it."""
        stream = self.running[name].stdout
        assert stream is not None
        line = stream.readline()
        if not line:
            raise RuntimeError(f"{name} did not start: {self.log(name)[-2000:]}")
        announced: dict[str, Any] = json.loads(line)
        return announced

    def log(self, name: str) -> str:
        """Return what a process wrote to its log."""
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process."""
        self.running[name].send_signal(number)

    def wait(self, name: str, timeout_s: float) -> int:
        """Return the exit code of a process that ends."""
        process = self.running.pop(name)
        code = process.wait(timeout_s)
        if process.stdout is not None:
            process.stdout.close()
        return code

    def kill(self, name: str) -> None:
        """End one process at once."""
        self.signal(name, signal.SIGKILL)
        self.wait(name, STOP_TIMEOUT_S)

    def stop_all(self) -> None:
        """End every process started here."""
        for process in self.running.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for name in list(self.running):
            self.wait(name, STOP_TIMEOUT_S)
