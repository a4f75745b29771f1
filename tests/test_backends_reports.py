"""Which polled reports count as those of the server that was asked."""

import pytest
from daemon_parts import SERVER, daemon_parts, list_server
from test_stated_numbers import poll_once

from pomelobarrow.decision.servers.load_table import LoadTable


@pytest.mark.parametrize(("name", "is_taken"), [(SERVER, True), ("other", False)])
async def test_load_of_the_next_server_at_an_address_is_not_taken(
    name: str, is_taken: bool
) -> None:
    """A VM took the load of another server for that of the one that had ended there."""
    context = daemon_parts()
    list_server(context)
    assert await poll_once(context, {"server": name, "running": 3}) == []
    assert (context.get(LoadTable).report(SERVER) is not None) is is_taken
