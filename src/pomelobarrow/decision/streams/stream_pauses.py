"""Estimate the cost that a prompt's prefill causes to the streams of its engine.

Load pattern: engines prefill prompts in chunks between the steps of all running streams, so that
each step takes a chunk longer while prompts are pending. A few long prompts at one engine then
delay every stream there for longer than its pause target, although each first answer is on time.
"""

from collections.abc import Callable

from attrs import frozen

# A prefill backlog below the first share of the pause target leaves streams on time; one above the
# second makes all of them late. On five engines of 70 tokens per ms with a target of 0.4 s, the
# longest pauses stay under 0.2 s up to a backlog of 0.15 s, and are 0.42 to 0.48 s from 0.3 s on.
HARMLESS_BACKLOG_SHARE = 0.35
HARMFUL_BACKLOG_SHARE = 0.8
# The same for the share of its time that an engine spends on prefill. Prompts arrive in bursts, so
# that a stream of some seconds meets a long backlog sooner or later. On the same engines hardly any
# stream is late at 20,000 tokens per second, half of them at 45,000, and nearly all at 60,000.
HARMLESS_PREFILL_SHARE = 0.25
HARMFUL_PREFILL_SHARE = 0.8
# The time over which one prompt adds to that share: the usual duration of a stream.
STREAM_DURATION_S = 2.0
# A stream made late costs as much as a first answer delayed by this share of its target. A higher
# cost would send long prompts to distant regions or refuse them for a delay that is only likely,
# and would prefill twice as many shared prompts repeatedly. In a simulated peak of one region 60
# streams are late with this cost and the next, 120 without this one and 150 without both (8 seeds).
LATE_STREAM_COST = 0.05
# Cost of the new stream's own lateness if other streams at the engine are observed to be late, as
# it is then certain to be late too. When an engine becomes slow, 2,024 short prompts are on time
# with this cost, and 1,858 without it.
SEEN_LATE_COST = 0.3


@frozen(kw_only=True)
class PauseTarget:
    """The latency targets of a stream: longest pause and time to the first answer."""

    gap_s: float
    first_answer_s: float


@frozen(kw_only=True)
class EngineLoad:
    """The number of streams, the prefill load and the late streams at one engine."""

    streams: int = 0
    # Time that the pending prefill takes.
    backlog_s: float = 0.0
    # Share of its time that it spends on prefill.
    prefill_share: float = 0.0
    # Share of its streams that are observed to be late.
    seen_late_share: float = 0.0


def late_share(engine: EngineLoad, gap_target_s: float) -> float:
    """Return the estimated share of an engine's streams that are late."""
    return _late_share(
        engine.backlog_s / gap_target_s, engine.prefill_share, engine.seen_late_share
    )


def pause_cost_s(target: PauseTarget, engine: EngineLoad, prefill_s: float) -> float:
    """Return the cost in seconds of one more prompt to an engine's streams and to itself.

    Streams that are late anyway add no cost.
    """
    cost_s = pause_cost_reader(target)
    return cost_s(
        engine.streams, engine.backlog_s, engine.prefill_share, engine.seen_late_share, prefill_s
    )


def pause_cost_reader(
    target: PauseTarget,
) -> Callable[[int, float, float, float, float], float]:
    """Return a function for the cost at many engines.

    It takes the engine's streams, backlog in seconds, prefill share and share of late streams, and
    the seconds that the prompt's prefill takes.
    """
    gap_s, first_answer_s = target.gap_s, target.first_answer_s

    def cost_s(
        streams: int,
        backlog_s: float,
        prefill_share: float,
        seen_late_share: float,
        prefill_s: float,
    ) -> float:
        if not gap_s:
            return 0.0
        after = _late_share(
            (backlog_s + prefill_s) / gap_s,
            prefill_share + prefill_s / STREAM_DURATION_S,
            seen_late_share,
        )
        if not after:
            return 0.0
        before = _late_share(backlog_s / gap_s, prefill_share, seen_late_share)
        made_late = (after - before) * streams
        own = max(LATE_STREAM_COST * after, SEEN_LATE_COST * seen_late_share)
        return (LATE_STREAM_COST * made_late + own) * first_answer_s

    return cost_s


def _late_share(backlog_share: float, prefill_share: float, seen_late_share: float) -> float:
    if backlog_share <= HARMLESS_BACKLOG_SHARE and prefill_share <= HARMLESS_PREFILL_SHARE:
        return seen_late_share
    by_backlog = _ramp(backlog_share, HARMLESS_BACKLOG_SHARE, HARMFUL_BACKLOG_SHARE)
    by_prefill = _ramp(prefill_share, HARMLESS_PREFILL_SHARE, HARMFUL_PREFILL_SHARE)
    return max(by_backlog, by_prefill, seen_late_share)


def _ramp(value: float, low: float, high: float) -> float:
    if value <= low:
        return 0.0
    return 1.0 if value >= high else (value - low) / (high - low)
