"""Texts that the demo's callers send."""

from importlib import resources

_DATA = resources.files("demo") / "data"

LOCKFILE_AND_HISTORY = (_DATA / "lockfile-and-history.txt").read_text(encoding="utf-8")
OFFTAKE_CONTRACT = (_DATA / "offtake-contract.txt").read_text(encoding="utf-8")

DRAFT_INSTRUCTIONS = (
    "You draft upgrade pull requests for shops' till and booking apps. Read the lockfile and the"
    " history, name the smallest upgrade that closes the advisory and give your reasoning."
)
NOTE_INSTRUCTIONS = "Write the changelog line of this upgrade: one sentence, imperative, no names."
REVIEW_INSTRUCTIONS = (
    "You read offtake contracts for a cathode trading desk. Answer from the contract alone, clause"
    " by clause, and put first what must be done before the nomination closes."
)
QUERY_INSTRUCTIONS = "Answer the trader in two sentences at most."
QUERY = (
    "Lot 26-0311, Grade A full plate, 502 t at Muuga, sulphur 16.2 g/t on the certificate. A buyer"
    " in Gdansk bids 124 over cash for prompt. Is that above our premium after the sulphur"
    " deduction and twelve days of rent, and by how much a tonne?"
)
PING = {
    "event": "build.finished",
    "repository": "shops/till-and-booking",
    "branch": "bot/cashdrawer-protocol-3.4.2",
    "commit": "9b31f0c54e0d7a6a1f3f2c8e7d1b0a9c8e7f6d5c",
    "shop": {"id": "bo-117", "city": "Bologna", "printer": "TP-220"},
    "result": "passed",
    "tests": {"run": 412, "failed": 0, "skipped": 3},
    "log_tail": "drawer: open once, status after 612 ms, no second open command",
}
DESK_CALL = {
    "order": "sell",
    "lot": "26-0311",
    "tonnes": 100,
    "premium_usd_per_tonne": 124.0,
    "quotational_period": "M+1",
    "counterparty": "Gdansk rod mill",
}
