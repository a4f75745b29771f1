"""Reckon what a prompt's reading does to the streams of its engine.

Load pattern: engines read prompts in chunks between the steps of all running streams, so that each
step takes a chunk longer while prompts wait to be read. A few long prompts at one engine then hold
up every stream there for longer than its pause target, although each first answer is on time.
"""

from attrs import frozen

# Below this part of the pause target, a backlog of reading leaves streams on time; from the other
# on it makes all of them late. Measured on five engines of 70 tokens a ms: streams' longest pauses
# stay under 0.2 s up to a backlog of 0.15 s, and are 0.42 to 0.48 s from 0.3 s on, of 0.4 s wanted.
HARMLESS_SHARE = 0.35
HARMFUL_SHARE = 0.8
# A stream made late costs as much as a first answer that comes later by this part of its target.
LATE_STREAM_COST = 0.5


@frozen(kw_only=True)
class PauseTarget:
    """Hold the seconds that a stream may pause, and until its first answer is late."""

    gap_s: float
    first_answer_s: float


def late_share(backlog_s: float, gap_target_s: float) -> float:
    """Return the share of an engine's streams that a backlog of reading makes late."""
    harmless_s = HARMLESS_SHARE * gap_target_s
    harmful_s = HARMFUL_SHARE * gap_target_s
    return min(1.0, max(0.0, (backlog_s - harmless_s) / (harmful_s - harmless_s)))


def pause_cost_s(
    target: PauseTarget,
    streams: int,
    backlog_s: float,
    reading_s: float,
    seen_late_share: float = 0.0,
) -> float:
    """Return what one more prompt costs the streams of an engine and itself, in seconds.

    `seen_late_share` is what its streams show; what is late already can't be made late.
    """
    if not target.gap_s:
        return 0.0
    before = max(seen_late_share, late_share(backlog_s, target.gap_s))
    after = max(seen_late_share, late_share(backlog_s + reading_s, target.gap_s))
    streams_made_late = (after - before) * streams + after
    return LATE_STREAM_COST * target.first_answer_s * streams_made_late
