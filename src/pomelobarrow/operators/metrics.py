"""Collect metrics at a low cost per request and render them for Prometheus."""

from aioprometheus import Registry, render

from pomelobarrow.operators.metric_families import (
    CounterFamily,
    GaugeFamily,
    HistogramFamily,
)

CONTENT_TYPE_HEADER = "Content-Type"
# From 25 ms for a short service call to ten minutes for a long generation.
REQUEST_BUCKETS_S = (0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 120, 300, 600)
TOKEN_GAP_BUCKETS_S = (0.005, 0.01, 0.02, 0.03, 0.05, 0.1, 0.2, 0.5, 1)


class Metrics:
    """All metrics of this VM.

    Label values come from the published configuration or from enumerations, never from a caller,
    so that no caller can increase the number of series.
    """

    def __init__(self) -> None:
        registry = Registry()
        self._registry = registry
        self.requests = CounterFamily(
            registry,
            "pomelobarrow_requests_total",
            "Requests that ended here.",
            ("class", "outcome"),
        )
        self.refusals = CounterFamily(
            registry,
            "pomelobarrow_refusals_total",
            "Requests refused, by problem kind and whether they ran.",
            ("kind", "run"),
        )
        self.forwards = CounterFamily(
            registry,
            "pomelobarrow_forwards_total",
            "Requests passed on to a peer in another region.",
            ("class", "region"),
        )
        self.retries = CounterFamily(
            registry,
            "pomelobarrow_retries_total",
            "Attempts after a request's first one.",
            ("class",),
        )
        self.refused_revisions = CounterFamily(
            registry,
            "pomelobarrow_refused_revisions_total",
            "Published revisions refused because they have faults.",
            ("keyspace",),
        )
        self.revision = GaugeFamily(
            registry,
            "pomelobarrow_configuration_revision",
            "Revision in force.",
            ("keyspace",),
        )
        self.era = GaugeFamily(
            registry,
            "pomelobarrow_configuration_era",
            "Era of the platform's store that the revision in force is of.",
            ("keyspace",),
        )
        self.join_rejections = CounterFamily(
            registry,
            "pomelobarrow_stream_join_rejections_total",
            "Runs of a stream that did not go on after the client's last event, by pool.",
            ("pool",),
        )
        self.unreadable_items = CounterFamily(
            registry,
            "pomelobarrow_unreadable_items_total",
            "Items of the platform's store that can't be used; all others count.",
            ("keyspace",),
        )
        self.inputs_too_long = CounterFamily(
            registry,
            "pomelobarrow_inputs_too_long_total",
            "Answers, messages and requests that were given up after a number of bytes.",
            ("source",),
        )
        self.clients_limited = CounterFamily(
            registry,
            "pomelobarrow_clients_limited_total",
            "Connections and requests of clients that were refused or closed for lack of room.",
            ("listener", "limit", "action"),
        )
        self.store_returns = CounterFamily(
            registry,
            "pomelobarrow_store_returns_total",
            "Times that the platform's store came back from an older copy.",
            (),
        )
        self.in_flight = GaugeFamily(
            registry,
            "pomelobarrow_requests_in_flight",
            "Requests accepted and not ended.",
            ("class",),
        )
        self.queue_depth = GaugeFamily(
            registry,
            "pomelobarrow_queue_depth",
            "Requests waiting for a backend server.",
            ("pool",),
        )
        self.first_token_s = HistogramFamily(
            registry,
            "pomelobarrow_first_token_seconds",
            "Time from acceptance to the first byte of the answer.",
            ("class",),
            REQUEST_BUCKETS_S,
        )
        self.duration_s = HistogramFamily(
            registry,
            "pomelobarrow_request_duration_seconds",
            "Time from acceptance to the end of the answer.",
            ("class", "outcome"),
            REQUEST_BUCKETS_S,
        )
        self.token_gap_mean_s = HistogramFamily(
            registry,
            "pomelobarrow_token_gap_mean_seconds",
            "Mean time between chunks, one observation a streamed request.",
            ("class",),
            TOKEN_GAP_BUCKETS_S,
        )
        self.token_gap_max_s = HistogramFamily(
            registry,
            "pomelobarrow_token_gap_max_seconds",
            "Longest time between chunks, one observation a streamed request.",
            ("class",),
            TOKEN_GAP_BUCKETS_S,
        )
        self.relay_requests = CounterFamily(
            registry,
            "pomelobarrow_relay_requests_total",
            "Relayed requests that ended here, by what the client got.",
            ("route", "outcome", "status"),
        )
        self.streams_taken_up = CounterFamily(
            registry,
            "pomelobarrow_streams_taken_up_total",
            "Streams that clients took up again, by how the software that began them is known.",
            ("source",),
        )
        self.relay_denied = CounterFamily(
            registry,
            "pomelobarrow_relay_denied_total",
            "Relayed requests refused by their key or their account's limit, by kind.",
            ("kind",),
        )
        self.relay_attempts = CounterFamily(
            registry,
            "pomelobarrow_relay_attempts_total",
            "Sendings of relayed requests to a backend server or a peer, by their end.",
            ("pool", "end"),
        )
        self.answers_over_limit = CounterFamily(
            registry,
            "pomelobarrow_answers_over_limit_total",
            "Answers that were given up because a part of them was larger than its limit.",
            ("pool", "part"),
        )
        self.prefix_copies = CounterFamily(
            registry,
            "pomelobarrow_prefix_copies_total",
            "Requests for which a backend server was asked to copy a prompt's shared part.",
            ("pool",),
        )
        self.pools_unreachable = CounterFamily(
            registry,
            "pomelobarrow_pools_unreachable_total",
            "Times that this VM reached no backend server of a pool.",
            ("pool",),
        )
        self.ejections = CounterFamily(
            registry,
            "pomelobarrow_server_ejections_total",
            "Times that a backend server was left out because it failed.",
            ("pool",),
        )
        self.servers_ended = CounterFamily(
            registry,
            "pomelobarrow_servers_ended_total",
            "Times that a backend server ended while requests of this VM were on it.",
            ("pool",),
        )
        self.servers_leaving = CounterFamily(
            registry,
            "pomelobarrow_servers_leaving_total",
            "Backend servers that leave, by the way in which this VM learned of it first.",
            ("pool", "source"),
        )
        self.server_backoffs = CounterFamily(
            registry,
            "pomelobarrow_server_backoffs_total",
            "Times that a backend server asked this VM to send nothing for a while.",
            ("pool",),
        )
        self.slowdowns_invalid = CounterFamily(
            registry,
            "pomelobarrow_server_slowdowns_invalid_total",
            "Answers in which a backend server stated a slowdown that can't be.",
            ("pool",),
        )
        self.loads_invalid = CounterFamily(
            registry,
            "pomelobarrow_server_loads_invalid_total",
            "Answers in which a backend server stated numbers of requests that can't be.",
            ("pool",),
        )
        self.server_slowdown = GaugeFamily(
            registry,
            "pomelobarrow_server_slowdown",
            "Factor by which a backend server is slower than usual now; others have no series.",
            ("server",),
        )
        self.blocked = CounterFamily(
            registry,
            "pomelobarrow_blocked_requests_total",
            "Requests refused because servers ended under the same request.",
            ("pool",),
        )
        self.steps_failed = CounterFamily(
            registry,
            "pomelobarrow_steps_failed_total",
            "Steps of background tasks that were left out because they raised an error.",
            ("step",),
        )
        self.member_changes = CounterFamily(
            registry,
            "pomelobarrow_member_changes_total",
            "Times that a VM fell silent or was heard again, by who told of it last.",
            ("change", "told_by"),
        )
        self.relay_first_answer_s = HistogramFamily(
            registry,
            "pomelobarrow_relay_first_answer_seconds",
            "Time from acceptance to the first of the answer of relayed requests.",
            ("route",),
            REQUEST_BUCKETS_S,
        )
        self.relay_attempt_s = HistogramFamily(
            registry,
            "pomelobarrow_relay_attempt_seconds",
            "Time that one sending of a relayed request took.",
            ("pool", "end"),
            REQUEST_BUCKETS_S,
        )
        self._families = [
            each
            for each in vars(self).values()
            if isinstance(each, CounterFamily | GaugeFamily | HistogramFamily)
        ]

    def observe_stream(
        self,
        class_name: str,
        first_chunk_s: float,
        last_chunk_s: float,
        chunks: int,
        max_gap_s: float,
    ) -> None:
        """Observe the token gaps of one finished stream; a stream of one chunk has none."""
        if chunks < 2:
            return
        self.token_gap_mean_s.observe((last_chunk_s - first_chunk_s) / (chunks - 1), class_name)
        self.token_gap_max_s.observe(max_gap_s, class_name)

    def render(self) -> tuple[bytes, str]:
        """Return the metrics in the Prometheus text format, and the content type."""
        for family in self._families:
            family.fill()
        content, headers = render(self._registry, [])
        return content, headers[CONTENT_TYPE_HEADER]
