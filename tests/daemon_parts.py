"""Build a daemon's components without its services."""

from pathlib import Path
from unittest.mock import create_autospec

from pomelobarrow.backends.sessions import BackendSessions
from pomelobarrow.decision.published.keyspace import Change
from pomelobarrow.decision.servers.load_table import LoadTable
from pomelobarrow.kernel.context import Context
from pomelobarrow.kernel.daemon import build_context
from pomelobarrow.kernel.settings import check_settings
from pomelobarrow.published.keyspaces import VMS, PublishedState

VM = "milan-1"
SERVER = "s1"
POOL = "plain"


def daemon_parts(vm: str = VM) -> Context:
    """Return a daemon's components without its services."""
    checked = check_settings(
        {
            "vm": vm,
            "region": "milan",
            "failure_domain": "milan-a",
            "callers": {"listen": "127.0.0.1:1", "advertise": "127.0.0.1:1"},
            "peers": {
                "listen": "127.0.0.1:2",
                "advertise": "127.0.0.1:2",
                "keys": [{"id": "k1", "secret": "a-shared-secret-of-tests"}],
            },
            "platform": {"addresses": ["http://127.0.0.1:3"]},
        },
        Path(),
    )
    context = build_context(checked.unwrap())
    # The sessions need a running loop, and nothing here is sent.
    context.provide(BackendSessions, lambda _: create_autospec(BackendSessions))
    return context


def list_server(context: Context, name: str = SERVER) -> None:
    """List one backend server of the daemon's region."""
    entry = {
        "role": "backend_server",
        "region": "milan",
        "failure_domain": "milan-a",
        "state": "ready",
        "address": "127.0.0.1:4",
        "pool": POOL,
        "slots": 8,
    }
    change = Change(revision=1, key=f"vms/{name}", value=entry)
    published = context.get(PublishedState)
    published.apply(VMS, (change,), 1, after_revision=0, source="test")
    context.get(LoadTable).set_servers(published.backend_servers.values())
