"""Divide memory for what is read whole among the connections that it is read from."""

from collections.abc import Hashable

from attrs import define, field, frozen


@frozen
class _Held:
    connection: Hashable
    size_bytes: int


@define(kw_only=True)
class ByteBudget:
    """Grant memory to readers; one connection never gets all of it."""

    limit_bytes: int
    connection_limit_bytes: int
    _held: dict[Hashable, _Held] = field(factory=dict, init=False)

    @property
    def held_bytes(self) -> int:
        """Return what all readers hold."""
        return sum(each.size_bytes for each in self._held.values())

    def try_hold(self, reader: Hashable, connection: Hashable, size_bytes: int) -> bool:
        """Return whether a reader may hold this much, in place of what it held before.

        A reader beside no other one may hold any amount, so that each gets its turn.
        """
        others = [each for other, each in self._held.items() if other != reader]
        of_connection = [each for each in others if each.connection == connection]
        if _exceeds(of_connection, size_bytes, self.connection_limit_bytes):
            return False
        if _exceeds(others, size_bytes, self.limit_bytes):
            return False
        self._held[reader] = _Held(connection, size_bytes)
        return True

    def give_back(self, reader: Hashable) -> bool:
        """Free what a reader holds; return whether it held anything."""
        return self._held.pop(reader, None) is not None


def _exceeds(others: list[_Held], size_bytes: int, limit_bytes: int) -> bool:
    held_bytes = sum(each.size_bytes for each in others)
    return bool(others) and held_bytes + size_bytes > limit_bytes
