"""The adapter's plug-in: the store reader and the translation of the relay's headers."""

from pomelobarrow.kernel.context import Context
from pomelobarrow.kernel.hooks import hookimpl
from pomelobarrow.platform.records import native_sources, platform_sources
from pomelobarrow.platform.store import Store
from pomelobarrow.platform.wire import platform_wire
from pomelobarrow.published.store_reader import StoreReader
from pomelobarrow.relay.wire import RelayWire


@hookimpl
def provide_parts(context: Context) -> None:
    """Register the store reader and the translation of the relay's headers."""
    context.provide(StoreReader, _reader)
    context.provide(RelayWire, lambda _: platform_wire())


def _reader(context: Context) -> StoreReader:
    relay = context.settings.relay
    sources = platform_sources(relay.region_by_failure_domain) if relay else native_sources()
    addresses = context.settings.platform.addresses
    return Store(addresses=addresses, sources=sources, observe=context.observe).reader()
