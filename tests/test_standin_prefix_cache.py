"""Test LRU eviction and the delayed, incomplete events of the prefix cache."""

from pomelobarrow.standin.prefix_cache import PrefixCache
from pomelobarrow.standin.prompt import BLOCK_BYTES, block_hashes, prompt_bytes


def visible_events(cache: PrefixCache, after: int, now_unix_s: float) -> list[tuple[int, str, int]]:
    events = cache.events_after(after, now_unix_s)["events"]
    return [(event["sequence"], event["kind"], event["block"]) for event in events]


def test_only_an_unbroken_prefix_matches() -> None:
    cache = PrefixCache(max_blocks=10)
    cache.store((1, 2, 3), 0.0)
    assert [cache.match(blocks) for blocks in [(1, 2, 9), (9, 2, 3), (1, 2, 3, 4)]] == [2, 0, 3]


def test_least_recently_used_blocks_are_evicted_from_the_end_of_the_prefix() -> None:
    cache = PrefixCache(max_blocks=4)
    cache.store((1, 2), 0.0)
    cache.store((3, 4), 0.0)
    cache.match((1, 2))
    cache.store((5,), 0.0)
    assert [cache.match(blocks) for blocks in [(1, 2), (3, 4), (5,)]] == [2, 1, 1]


def test_events_come_late_and_with_gaps() -> None:
    cache = PrefixCache(max_blocks=2, event_lag_s=5.0, event_loss_every=2)
    cache.store((1, 2), 100.0)
    cache.store((3,), 103.0)
    assert visible_events(cache, 0, 104.0) == []
    assert visible_events(cache, 0, 105.0) == [(1, "stored", 1)]
    assert cache.events_after(0, 105.0)["next"] == 2
    assert visible_events(cache, 2, 108.0) == [(3, "stored", 3)]
    assert cache.events_after(2, 108.0)["next"] == 4


def test_reader_ahead_of_a_new_engine_gets_its_newest_sequence() -> None:
    assert PrefixCache(max_blocks=2).events_after(500, 0.0)["next"] == 0


def test_blocks_differ_after_a_different_predecessor() -> None:
    tail = "t" * BLOCK_BYTES
    first, second = (
        block_hashes(prompt_bytes({"messages": [{"role": "user", "content": head + tail}]}))
        for head in ("a" * BLOCK_BYTES, "b" * BLOCK_BYTES)
    )
    assert len(first) == 2
    assert not set(first) & set(second)
