"""Reckon what a prompt's reading does to the streams of its engine.

Load pattern: engines read prompts in chunks between the steps of all running streams, so that each
step takes a chunk longer while prompts wait to be read. A few long prompts at one engine then hold
up every stream there for longer than its pause target, although each first answer is on time.
"""

from attrs import frozen

# Below this part of the pause target, a backlog of reading leaves streams on time; from the other
# on it makes all of them late. Measured on five engines of 70 tokens a ms: streams' longest pauses
# stay under 0.2 s up to a backlog of 0.15 s, and are 0.42 to 0.48 s from 0.3 s on, of 0.4 s wanted.
HARMLESS_BACKLOG_SHARE = 0.35
HARMFUL_BACKLOG_SHARE = 0.8
# The same for the share of its time that an engine spends reading. Prompts come in clumps, so that
# a stream of some seconds meets a long backlog sooner or later. Measured there: hardly any stream
# was late at 20,000 tokens a second, half of them at 45,000, nearly all at 60,000.
HARMLESS_READING_SHARE = 0.25
HARMFUL_READING_SHARE = 0.8
# Over what time one prompt counts into that share: what a stream lasts.
STREAM_S = 2.0
# A stream made late costs as much as a first answer that comes later by this part of its target.
# More would send long prompts far, or refuse them, for a delay that is only likely, and read twice
# as many shared prompts again. In a replay of one region's peak 60 streams are late with this and
# the next cost, 120 without this one, 150 with neither (8 seeds).
LATE_STREAM_COST = 0.05
# Its own lateness costs a stream this part where others at the engine show it: that is sure. With
# an engine that turns slow 2,024 short prompts are on time, 1,858 without it.
SEEN_LATE_COST = 0.3


@frozen(kw_only=True)
class PauseTarget:
    """Hold the seconds that a stream may pause, and until its first answer is late."""

    gap_s: float
    first_answer_s: float


@frozen(kw_only=True)
class EngineLoad:
    """Hold what is known of the streams and the reading at one engine."""

    streams: int = 0
    # Prompts that it has yet to read.
    backlog_s: float = 0.0
    # The share of its time that it spends reading.
    prefill_share: float = 0.0
    # The share of its streams that are seen to be late.
    seen_late_share: float = 0.0


def late_share(engine: EngineLoad, gap_target_s: float) -> float:
    """Return the share of an engine's streams that are late."""
    return _late_share(
        engine.backlog_s / gap_target_s, engine.prefill_share, engine.seen_late_share
    )


def pause_cost_s(target: PauseTarget, engine: EngineLoad, reading_s: float) -> float:
    """Return what one more prompt costs the streams of an engine and itself, in seconds.

    What is late already can't be made late.
    """
    if not target.gap_s:
        return 0.0
    after = _late_share(
        (engine.backlog_s + reading_s) / target.gap_s,
        engine.prefill_share + reading_s / STREAM_S,
        engine.seen_late_share,
    )
    made_late = (after - late_share(engine, target.gap_s)) * engine.streams
    own = max(LATE_STREAM_COST * after, SEEN_LATE_COST * engine.seen_late_share)
    return (LATE_STREAM_COST * made_late + own) * target.first_answer_s


def _late_share(backlog_share: float, prefill_share: float, seen_late_share: float) -> float:
    by_backlog = _ramp(backlog_share, HARMLESS_BACKLOG_SHARE, HARMFUL_BACKLOG_SHARE)
    by_reading = _ramp(prefill_share, HARMLESS_READING_SHARE, HARMFUL_READING_SHARE)
    return max(by_backlog, by_reading, seen_late_share)


def _ramp(value: float, low: float, high: float) -> float:
    return min(1.0, max(0.0, (value - low) / (high - low)))
