import pytest

from bench.capacity_fit import fit_line
from bench.capacity_size import DAEMONS, REGIONS, SERVERS, split
from bench.capacity_sockets import SocketTotals, growth, parse_sockets

LINE = (
    '0 0 127.0.0.1:{local} 127.0.0.1:9000 users:(("python",pid={pid},fd=5)) bbr '
    "bytes_sent:{sent} bytes_acked:1 bytes_received:30 segs_out:9 data_segs_out:4"
)


def test_a_line_through_exact_points_has_no_error() -> None:
    line = fit_line([1, 2, 4], [5.0, 7.0, 11.0])

    assert (line.base, line.slope, line.error_share) == pytest.approx((3.0, 2.0, 0.0))


def test_the_error_is_the_largest_miss() -> None:
    line = fit_line([0, 1, 2], [0.0, 3.0, 0.0])

    assert line.error_share == pytest.approx(2 / 3)


@pytest.mark.parametrize("total", [DAEMONS, SERVERS])
def test_regions_split_the_whole_tenfold(total: int) -> None:
    parts = split(total)

    assert (len(parts), sum(parts)) == (REGIONS, total)
    assert parts[-1] == pytest.approx(10 * parts[0], rel=0.1)


def test_only_the_given_processes_sockets_are_counted() -> None:
    text = "\n".join([LINE.format(local=1, pid=7, sent=10), LINE.format(local=2, pid=8, sent=10)])

    found = parse_sockets(text, frozenset({7}), {9000: "peer"})

    assert list(found.values()) == [SocketTotals(bytes=40, messages_sent=4)]


def test_growth_counts_new_sockets_whole_and_leaves_closed_ones_out() -> None:
    ports = {9000: "peer"}
    pids = frozenset({7})
    closed, old = LINE.format(local=1, pid=7, sent=5), LINE.format(local=2, pid=7, sent=10)
    before = parse_sockets(f"{closed}\n{old}", pids, ports)
    grown, new = LINE.format(local=2, pid=7, sent=15), LINE.format(local=3, pid=7, sent=1)
    after = parse_sockets(f"{grown}\n{new}", pids, ports)

    assert growth(before, after, "peer").bytes == 5 + 31
