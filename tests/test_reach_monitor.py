"""What a probe shows of a server whose next start is listed already."""

import pytest
from attrs import evolve
from test_end_check import answering, server_at

from pomelobarrow.backends.reach_monitor import ReachMonitor
from pomelobarrow.backends.reports import load_probe
from pomelobarrow.backends.sessions import BackendSessions
from pomelobarrow.decision.servers.load_table import LoadTable
from pomelobarrow.decision.servers.process_state import ProcessState


@pytest.mark.parametrize(
    ("listed_born_unix_ms", "statement", "state"),
    [
        (1_000, '{"server": "s", "born_unix_ms": 1000}', ProcessState.RUNNING),
        (2_000, '{"server": "s", "born_unix_ms": 1000}', ProcessState.ENDED),
        (1_000, '{"server": "s"}', ProcessState.UNKNOWN),
        (2_000, '{"server": "s"}', ProcessState.ENDED),
    ],
)
async def test_server_that_restarted_under_its_name_has_ended(
    listed_born_unix_ms: int, statement: str, state: ProcessState
) -> None:
    """A cut answer looked complete since the next start of its server had answered the probe."""
    async with answering(200, statement) as port:
        asked = evolve(server_at(port), born_unix_ms=1_000)
        table, sessions = LoadTable("r"), BackendSessions({})
        table.set_servers([evolve(asked, born_unix_ms=listed_born_unix_ms)])
        monitor = ReachMonitor(
            reachability=table.reachability,
            sessions=sessions,
            probe_path="/",
            probe_headers={},
            naming_probe=load_probe,
            is_current=table.is_current_incarnation,
            forgive=lambda servers: None,
            observe=lambda event: None,
        )
        assert await monitor.check_server(asked) is state
        assert await monitor.is_running(asked) is (state is ProcessState.RUNNING)
        await sessions.close()
