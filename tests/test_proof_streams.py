"""Streams in many forms from server processes that break off, are killed and are replaced."""

import pytest
from proof_report import Figure

from soak.fleet import STREAMED, STREAMED_TOO
from soak.streams import play

pytestmark = pytest.mark.proof

SEED = 1
SENDING_S = 10.0
ID_FORMS = ("plain", "data first", "no space", "text id", "lines")
OTHER_FORMS = ("comment", "extra", "empty id", "no id", "bytes after the end")
OTHER_LINE_ENDS = ("crlf", "cr")


@pytest.mark.parametrize("is_disrupted", [False, True], ids=["quiet", "disrupted"])
async def test_streams_with_an_id_in_each_event_lack_and_repeat_nothing(
    is_disrupted: bool, record_property: Figure
) -> None:
    """Clients got pieces twice, out of order or not at all; daemons may be killed and paused."""
    servers, found = await play(SEED, SENDING_S, ID_FORMS, is_disrupted)
    record_property("streams", len(servers.streams))
    assert found == []
    assert servers.streams


async def test_streams_of_a_split_route_stay_at_their_service(record_property: Figure) -> None:
    """VMs other than the one that began a stream let it go on at either service of its route."""
    servers, found = await play(SEED, SENDING_S, ("plain",), is_split=True)
    record_property("streams", len(servers.streams))
    assert found == []
    assert {stream.service for stream in servers.streams} >= {STREAMED, STREAMED_TOO}


async def test_streams_whose_ids_grow_in_uneven_steps_go_on() -> None:
    """Sound runs were taken for ones that leave events out, and no server could go on."""
    servers, found = await play(SEED, SENDING_S, ("uneven ids",))
    assert found == []
    assert servers.streams


@pytest.mark.parametrize("forms", [OTHER_FORMS, OTHER_LINE_ENDS], ids=["ids", "line ends"])
async def test_streams_of_any_form_lack_and_repeat_nothing(
    forms: tuple[str, ...], record_property: Figure
) -> None:
    """Clients got pieces twice, or no stream at all, if events have no id or other line ends."""
    servers, found = await play(SEED, SENDING_S, forms)
    record_property("streams", len(servers.streams))
    assert found == []
    assert {stream.form for stream in servers.streams} == set(forms)


@pytest.mark.parametrize("form", ["restarts", "repeats", "skips"])
async def test_run_that_does_not_go_on_after_the_last_id_is_not_joined(form: str) -> None:
    """Clients got the events of two runs as one stream, with pieces missing or twice."""
    servers, found = await play(SEED, SENDING_S, (form,))
    assert found == []
    assert servers.streams


async def test_unframed_answer_of_a_killed_server_does_not_look_complete() -> None:
    """The kernel ends the connections of a killed process with FIN, as if its answers were whole.

    Clients took such streams for complete before their last event.
    """
    servers, found = await play(SEED, SENDING_S, ("plain",), unframed_share=1.0)
    assert found == []
    assert servers.ended_with_process() == []
