"""The state of a backend server, as input of a placement decision."""

from attrs import define

from pomelobarrow.decision.requests.work import BackendServer
from pomelobarrow.decision.servers.present_speed import USUAL_SPEED, SlowMoment


@define(kw_only=True)
class ServerState:
    """The state of one usable backend server."""

    server: BackendServer
    requests: int
    others_requests: int
    # Standard deviation of the estimated number of others' requests.
    requests_deviation: float
    # Prompt tokens still to be computed: exact for this VM's requests, an estimate for all others.
    own_tokens: int
    others_tokens: int
    # KV cache tokens that the requests in flight may come to use.
    kv_tokens: int
    # Slots that may be filled now; fewer during slow start.
    slots: float
    # Share of the server's streams that are late now, from pauses in this VM's own streams.
    seen_late_share: float = 0.0
    # Share of its time that the server spends on prefill.
    prefill_share: float = 0.0
    slow_moment: SlowMoment = USUAL_SPEED
