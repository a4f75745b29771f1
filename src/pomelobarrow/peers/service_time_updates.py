"""Exchange the service times of pools and the prompt tokens sent to them with neighbours."""

from attrs import define, field

from pomelobarrow.decision.common.bounded import are_amounts
from pomelobarrow.decision.servers.load_table import LoadTable
from pomelobarrow.peers import peers_pb2 as pb

# Learned times change slowly. Sent more often, the sums would be a third of a heartbeat's bytes.
SEND_INTERVAL_S = 2.0
# Less than a short prompt in ten seconds. The rate sent before decays as fast by itself.
MIN_SENT_PER_S = 50.0


@define
class SentServiceTimes:
    """Record by pool the samples sent to one peer and when the next sums may be sent."""

    samples: dict[str, int] = field(factory=dict)
    next_unix_s: dict[str, float] = field(factory=dict)
    prompt_rate_sent: set[str] = field(factory=set)


@define
class ServiceTimeUpdates:
    """Exchange the sums of learned service times with the neighbours in the region."""

    table: LoadTable

    def write(self, heartbeat: pb.Heartbeat, sent: SentServiceTimes, now_unix_s: float) -> None:
        """Add the pools with new samples and those to which this VM sends prompts."""
        for pool, times in self.table.all_service_times():
            entry = pb.PoolTimes(pool=pool)
            entry.reading_tokens_per_s = self.table.prefill_rates.own_tokens_per_s(pool, now_unix_s)
            has_new_samples = times.samples > sent.samples.get(pool, 0)
            if has_new_samples and now_unix_s >= sent.next_unix_s.get(pool, 0.0):
                sent.samples[pool] = times.samples
                sent.next_unix_s[pool] = now_unix_s + SEND_INTERVAL_S
                entry.sums.extend(times.own_sums())
            # Once a peer has an entry for a pool, it treats a missing one as a rate of zero.
            is_first = pool not in sent.prompt_rate_sent
            if entry.sums or is_first or entry.reading_tokens_per_s >= MIN_SENT_PER_S:
                sent.prompt_rate_sent.add(pool)
                heartbeat.times.append(entry)

    def apply(self, heartbeat: pb.Heartbeat, now_unix_s: float) -> None:
        """Apply the service times and prompt rates in a neighbour's heartbeat."""
        vm, table = heartbeat.vm, self.table
        for entry in heartbeat.times:
            if not table.pool_servers(entry.pool):
                continue
            if not are_amounts((entry.reading_tokens_per_s, *entry.sums)):
                continue
            table.prefill_rates.observe_peer(vm, entry.pool, entry.reading_tokens_per_s, now_unix_s)
            if entry.sums:
                table.service_times(entry.pool).observe_peer(vm, entry.sums)
