"""Tell a neighbour what a pool's servers take and are sent, as seen here, and take in the same."""

from attrs import define, field

from pomelobarrow.decision.load_table import LoadTable
from pomelobarrow.peers import peers_pb2 as pb

# Learned times move slowly; sooner, the sums would be a third of a heartbeat's bytes.
TOLD_EVERY_S = 2.0
# Less than a short prompt in ten seconds; what was told before fades as fast by itself.
LEAST_TOLD_PER_S = 50.0


@define
class SentServiceTimes:
    """Hold what one peer was told: by pool, how many samples, and when it may be told again."""

    samples: dict[str, int] = field(factory=dict)
    next_unix_s: dict[str, float] = field(factory=dict)
    reading_told: set[str] = field(factory=set)


@define
class ServiceTimeUpdates:
    """Exchange the sums of learned times with the neighbours of the region."""

    table: LoadTable

    def write(self, heartbeat: pb.Heartbeat, sent: SentServiceTimes, now_unix_s: float) -> None:
        """Add the pools of which this VM has seen more, or to which it sends prompts."""
        for pool, times in self.table.all_service_times():
            told = pb.PoolTimes(pool=pool)
            told.reading_tokens_per_s = self.table.reading.own_per_s(pool, now_unix_s)
            is_news = times.samples > sent.samples.get(pool, 0)
            if is_news and now_unix_s >= sent.next_unix_s.get(pool, 0.0):
                sent.samples[pool] = times.samples
                sent.next_unix_s[pool] = now_unix_s + TOLD_EVERY_S
                told.sums.extend(times.own_sums())
            # Told once of a pool, the peer takes silence for nothing sent there.
            is_first = pool not in sent.reading_told
            if told.sums or is_first or told.reading_tokens_per_s >= LEAST_TOLD_PER_S:
                sent.reading_told.add(pool)
                heartbeat.times.append(told)

    def take(self, heartbeat: pb.Heartbeat, now_unix_s: float) -> None:
        """Take in what a neighbour has seen and sends."""
        vm, table = heartbeat.vm, self.table
        for told in heartbeat.times:
            if not table.pool_servers(told.pool):
                continue
            table.reading.observe_peer(vm, told.pool, told.reading_tokens_per_s, now_unix_s)
            if told.sums:
                table.service_times(told.pool).observe_peer(vm, told.sums)
