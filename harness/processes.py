"""Start processes, wait until they are ready, and end them."""

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
# Below the ephemeral port range, from which outgoing connections could take a port first.
PORT_RANGE = range(12_000, 32_000)
BLOCK_PORTS = 400
# Socket bound to the first port of this process's block, which reserves the block until the process
# exits, and the block's other ports in the order in which they are tried.
_guards: list[socket.socket] = []
_next_ports: list[int] = []


def free_ports(count: int) -> list[int]:
    """Return free ports from a block reserved by this process.

    If two harnesses shared one range, both could choose the same port in the seconds between
    the choice and the daemon's start, and the second daemon would fail to start.
    """
    if not _guards:
        _reserve_block()
    first = _guards[0].getsockname()[1]
    ports: list[int] = []
    for _ in range(len(_next_ports)):
        port = _next_ports.pop(0)
        _next_ports.append(port)
        if _is_free(port):
            ports.append(port)
        if len(ports) == count:
            return ports
    raise RuntimeError(f"fewer than {count} free ports in block {first}: stop what listens there")


def _reserve_block() -> None:
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
    raise RuntimeError("all port blocks are reserved: stop the other harnesses")


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
    """Started processes by name, and a folder for their files."""

    folder: Path = field(factory=lambda: Path(tempfile.mkdtemp(prefix="pomelobarrow-")))
    running: dict[str, "subprocess.Popen[bytes]"] = field(factory=dict)

    def start(
        self, name: str, arguments: Iterable[str], announces: bool = True
    ) -> "subprocess.Popen[bytes]":
        """Run a module of this project as a process that logs to the folder.

        Stand-ins print their addresses on standard output; daemons write their log there.
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
        """Wait for the line that a stand-in prints when it is ready, and return it."""
        stream = self.running[name].stdout
        assert stream is not None
        line = stream.readline()
        if not line:
            raise RuntimeError(f"{name} did not start: {self.log(name)[-2000:]}")
        announced: dict[str, Any] = json.loads(line)
        return announced

    def log(self, name: str) -> str:
        """Return the contents of a process's log."""
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process."""
        self.running[name].send_signal(number)

    def wait(self, name: str, timeout_s: float) -> int:
        """Wait for a process to exit and return its exit code."""
        process = self.running.pop(name)
        code = process.wait(timeout_s)
        if process.stdout is not None:
            process.stdout.close()
        return code

    def kill(self, name: str) -> None:
        """Kill one process and wait for its exit."""
        self.signal(name, signal.SIGKILL)
        self.wait(name, STOP_TIMEOUT_S)

    def stop_all(self) -> None:
        """Kill every process started here."""
        for process in self.running.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for name in list(self.running):
            self.wait(name, STOP_TIMEOUT_S)
