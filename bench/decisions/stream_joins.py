"""Compare ways to notice that a run leaves out the event after the last one that a client has."""

from collections.abc import Callable, Sequence
from itertools import pairwise
from random import Random
from typing import Any

from attrs import define, field, frozen

VMS, SERVERS = 9, 9
PIECES = 12
STREAMS = 78
# Streams that each play sends first, so that the VMs have seen the numbering.
EARLIER_STREAMS = 1_000
BREAK_SHARE, LEAVE_SHARE = 1 / 3, 1 / 4
SERVER_ATTEMPTS, CLIENT_ATTEMPTS = 3, 5
UNEVEN_IDS = (1, 5, 7, 9, 10, 11, 14, 16, 18, 25, 26, 27)
SKIPPING_SERVER = 0
# What a VM has to have seen before it rejects a run.
MIN_RUNS, MIN_STEPS = 2, 64
MIN_JOINS, MIN_NEXT_SHARE = 8, 3 / 4


@frozen
class _Event:
    """An event with its id and the pieces of the stream that it holds."""

    id: int
    first: int
    last: int


@define
class _Vm:
    """What a VM has seen of the ids of one software version."""

    runs: int = 0
    steps: int = 0
    is_uneven: bool = False
    joins: int = 0
    joins_with_next: int = 0

    def note_run(self, ids: Sequence[int]) -> None:
        if len(ids) > 1:
            self.runs += 1
            self.steps += len(ids) - 1
            self.is_uneven |= ids[-1] - ids[0] != len(ids) - 1

    def note_join(self, is_next: bool) -> None:
        self.joins += 1
        self.joins_with_next += is_next

    @property
    def are_steps_even(self) -> bool:
        is_enough = self.runs >= MIN_RUNS and self.steps >= MIN_STEPS
        return is_enough and not self.is_uneven

    @property
    def do_joins_go_on(self) -> bool:
        is_enough = self.joins >= MIN_JOINS
        return is_enough and self.joins_with_next >= MIN_NEXT_SHARE * self.joins


# Returns the events that a server sends after a piece of a stream whose pieces have these ids.
Numbering = Callable[[Sequence[int], int, int], list[_Event]]


def _one_by_one(ids: Sequence[int], after: int, server: int) -> list[_Event]:
    return [_Event(id_, n, n) for n, id_ in enumerate(ids, 1) if n > after]


def _two_pieces_first(ids: Sequence[int], after: int, server: int) -> list[_Event]:
    events = _one_by_one(ids, after, server)
    if not after or len(events) < 2:
        return events
    return [_Event(events[1].id, events[0].first, events[1].last), *events[2:]]


def _skips(ids: Sequence[int], after: int, server: int) -> list[_Event]:
    return _one_by_one(ids, after + bool(after), server)


def _one_skips(ids: Sequence[int], after: int, server: int) -> list[_Event]:
    skips = server == SKIPPING_SERVER
    return (_skips if skips else _one_by_one)(ids, after, server)


def _even(random: Random) -> Sequence[int]:
    return range(1, PIECES + 1)


def _uneven(random: Random) -> Sequence[int]:
    return UNEVEN_IDS


def _tokens(share: float) -> Callable[[Random], Sequence[int]]:
    """Number by tokens, of which this share of the events holds two or three."""

    def ids(random: Random) -> Sequence[int]:
        found, tokens = [], 0
        for _ in range(PIECES):
            tokens += random.choice((2, 3)) if random.random() < share else 1
            found.append(tokens)
        return found

    return ids


SOUND: dict[str, tuple[Callable[[Random], Sequence[int]], Numbering]] = {
    "by event": (_even, _one_by_one),
    "uneven": (_uneven, _one_by_one),
    "by token, 1% of events hold several": (_tokens(0.01), _one_by_one),
    "by token, 10% of events hold several": (_tokens(0.1), _one_by_one),
    "by token, the first event of a resumed run holds two": (_even, _two_pieces_first),
}
SERVER_KINDS = SOUND | {
    "by event, all servers skip one": (_even, _skips),
    "by event, one of nine servers skips one": (_even, _one_skips),
}


@frozen
class _Join:
    """What a VM knows when a run of a stream continues another one."""

    vm: _Vm
    # The ids that the VM has seen of the stream, up to the last one that the client has.
    before: Sequence[int]
    after: Sequence[int]
    is_gap: bool

    @property
    def is_next(self) -> bool:
        return self.after[0] == self.before[-1] + 1


def _shows_uneven_step(join: _Join) -> bool:
    runs = (join.before, join.after)
    return join.vm.is_uneven or any(b - a != 1 for ids in runs for a, b in pairwise(ids))


# Return whether a run is passed on.
WAYS: dict[str, Callable[[_Join], bool]] = {
    "ids grow": lambda join: True,
    "even steps within runs": lambda join: join.is_next or not join.vm.are_steps_even,
    "even steps within runs, most joins too": lambda join: (
        join.is_next or not (join.vm.are_steps_even and join.vm.do_joins_go_on)
    ),
    "even unless shown otherwise": lambda join: join.is_next or _shows_uneven_step(join),
    "numbering known": lambda join: not join.is_gap,
}


@define(kw_only=True)
class _Play:
    """The VMs, and what became of the streams that were sent."""

    way: Callable[[_Join], bool]
    ids: Callable[[Random], Sequence[int]]
    numbering: Numbering
    random: Random
    vms: list[_Vm] = field(factory=lambda: [_Vm() for _ in range(VMS)])
    gaps: int = 0
    ends_early: int = 0
    sound_joins: int = 0
    sound_rejected: int = 0
    taken_up: int = 0
    went_on: int = 0

    def send(self) -> None:
        """Send one stream, and take it up until it is whole or faulty, or no attempt is left."""
        ids, had = self.ids(self.random), 0
        for _ in range(CLIENT_ATTEMPTS):
            has = self._answer(ids, had)
            if has is None:
                return
            self.taken_up += had > 0
            self.went_on += 0 < had < has
            had = has
            if has == PIECES:
                return

    def _answer(self, ids: Sequence[int], has: int) -> int | None:
        """Return the last piece that the client has after an answer; None if that is faulty."""
        random, vm = self.random, self.random.choice(self.vms)
        wanted = random.randint(has + 1, PIECES) if random.random() < LEAVE_SHARE else PIECES
        seen = [ids[has - 1]] if has else []
        for _ in range(SERVER_ATTEMPTS):
            run, is_whole = self._run(ids, has)
            if run and has:
                join = _Join(vm, seen, [event.id for event in run], run[0].first > has + 1)
                if not self._is_passed_on(join):
                    continue
                if join.is_gap:
                    self.gaps += 1
                    return None
            elif is_whole and has:
                self.ends_early += 1
                return None
            received = [event for event in run if event.first <= wanted]
            vm.note_run([event.id for event in received])
            seen += [event.id for event in received]
            has = received[-1].last if received else has
            if is_whole or has >= wanted:
                break
        return has

    def _run(self, ids: Sequence[int], has: int) -> tuple[list[_Event], bool]:
        """Return what one server sends of a stream, and whether it came to its end."""
        run = self.numbering(ids, has, self.random.randrange(SERVERS))
        if self.random.random() < BREAK_SHARE:
            return run[: self.random.randrange(len(run) + 1)], False
        return run, True

    def _is_passed_on(self, join: _Join) -> bool:
        join.vm.note_join(join.is_next)
        is_passed_on = self.way(join)
        self.sound_joins += not join.is_gap
        self.sound_rejected += not join.is_gap and not is_passed_on
        return is_passed_on


def run(servers: str, has_seen_streams: bool, way: str, seed: int) -> dict[str, Any]:
    """Send streams through VMs that have just started, or that have seen earlier streams."""
    random, (ids, numbering) = Random(seed), SERVER_KINDS[servers]
    earlier = _Play(way=WAYS[way], ids=ids, numbering=numbering, random=random)
    for _ in range(EARLIER_STREAMS if has_seen_streams else 0):
        earlier.send()
    play = _Play(way=WAYS[way], ids=ids, numbering=numbering, random=random, vms=earlier.vms)
    for _ in range(STREAMS):
        play.send()
    return {
        "servers_send": servers,
        "has_seen_streams": has_seen_streams,
        "way": way,
        "gaps": play.gaps,
        "ends_early": play.ends_early,
        "plays_without_fault": float(not play.gaps + play.ends_early),
        "sound_joins_rejected": play.sound_rejected / max(1, play.sound_joins),
        "went_on_of_taken_up": play.went_on / max(1, play.taken_up),
    }
