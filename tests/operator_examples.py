"""Examples of valid settings and configuration for tests."""

import hashlib
from typing import Any

SECRET = "correct-horse-battery-staple"
SETTINGS: dict[str, Any] = {
    "vm": "milan-1",
    "region": "milan",
    "failure_domain": "milan-a",
    "callers": {"listen": "0.0.0.0:8080", "advertise": "10.0.1.4:8080"},
    "peers": {
        "listen": "0.0.0.0:9090",
        "advertise": "10.0.1.4:9090",
        "keys": [{"id": "k1", "secret": SECRET}],
        "seeds": ["10.0.1.5:9090"],
    },
    "platform": {"addresses": ["http://10.0.9.1:8600/"]},
}
TOKEN_SHA256 = hashlib.sha256(b"till-token").hexdigest()
DRAFT = {"pool": "drafting", "first_token_target_s": 20, "finish_target_s": 600}
ACCOUNT = {"token_sha256": [TOKEN_SHA256], "max_requests_per_s": 5, "max_requests_in_flight": 10}
PUBLISHED: dict[str, Any] = {
    "deployment": {"objective": "tail_latency"},
    "pools/drafting": {"kind": "engine"},
    "pools/hooks": {"kind": "service", "service": "webhooks"},
    "classes/draft": DRAFT,
    "classes/ping": {**DRAFT, "pool": "hooks", "repeatable": False, "rank": "trial"},
    "models/drafter": {"pool": "drafting"},
    "accounts/shop-17": ACCOUNT,
}
