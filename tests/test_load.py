"""Load generator: arrivals, traces, latencies from the intended start, and certification of runs."""

import gzip
import json
import math
import os
import subprocess
import sys
from statistics import mean, pstdev

import polars as pl
import pytest
import zstandard
from click.testing import CliRunner
from program import SECOND

from cedarshift.cli.main import main
from cedarshift.deployment import InvalidFile
from cedarshift.load import trace as tr
from cedarshift.load.arrivals import LoadPlan, OpMix, Shape, arrival_times, arrivals
from cedarshift.load.certify import WorkerMetrics, faults
from cedarshift.load.latency import Latencies, decode_latencies
from cedarshift.load.plan import load_file
from cedarshift.load.run import worker_metrics
from cedarshift.load.sender import Sender
from cedarshift.loop import listen
from cedarshift.loop.epoll import real_loop
from cedarshift.loop.world import World
from cedarshift.rehearsal.fleet import Ports
from cedarshift.web import HttpReply, serve_http

GET, PUT = OpMix("get", 3.0, 6 * SECOND, 100_000), OpMix("put", 1.0, 3 * SECOND, 200_000)
EXAMPLE = open("examples/load-morning.hcl").read()


def plan(**settings):
    return LoadPlan(**{"rate": 500.0, "length": 20 * SECOND, "ops": (GET, PUT), "targets": 3, **settings})


def in_windows(found, span, length):
    counts = [0] * (length // span)
    for at in found:
        counts[at // span] += 1
    return counts


@pytest.mark.parametrize(
    "kind, spread",
    [("poisson", (0.85, 1.15)), ("even", (0.0, 0.05)), ("bursty", (10, 400)), ("heavy", (1.5, 200))],
)
def test_the_mean_is_the_rate_and_the_spread_is_the_kinds(kind, spread):
    """The index of dispersion over 100 ms is 1 for Poisson arrivals and higher for bursts."""
    p = plan(arrivals=kind, rate=300.0, length=400 * SECOND)
    found = list(arrival_times(p))
    assert found == sorted(found) and all(0 <= at < p.length for at in found)
    assert len(found) / 400 == pytest.approx(300, rel=0.1)
    counts = in_windows(found, SECOND // 10, p.length)
    assert spread[0] <= pstdev(counts) ** 2 / mean(counts) <= spread[1]


def test_poisson_gaps_are_exponential():
    found = list(arrival_times(plan(rate=1000.0, length=100 * SECOND)))
    gaps = [b - a for a, b in zip(found, found[1:])]
    for share in (0.1, 0.5, 0.9, 0.99):
        wanted = -math.log(1 - share) * 1000
        assert sorted(gaps)[int(share * len(gaps))] == pytest.approx(wanted, rel=0.05, abs=2)


@pytest.mark.parametrize(
    "shape, at, factor",
    [
        (Shape("ramp", 5 * SECOND, 10 * SECOND, 1.0, 3.0), 2, 1.0),
        (Shape("ramp", 5 * SECOND, 10 * SECOND, 1.0, 3.0), 10, 2.0),
        (Shape("ramp", 5 * SECOND, 10 * SECOND, 1.0, 3.0), 18, 3.0),
        (Shape("burst", 5 * SECOND, 5 * SECOND, end=4.0), 7, 4.0),
        (Shape("burst", 5 * SECOND, 5 * SECOND, end=4.0), 12, 1.0),
        (Shape("burst", 5 * SECOND, 5 * SECOND, end=0.0), 7, 0.0),
        (Shape("wave", 0, 20 * SECOND, depth=0.5, period=20 * SECOND), 5, 1.5),
        (Shape("wave", 0, 20 * SECOND, depth=0.5, period=20 * SECOND), 15, 0.5),
    ],
)
def test_shapes_bend_the_rate(shape, at, factor):
    counts = in_windows(arrival_times(plan(rate=2000.0, shapes=(shape,))), SECOND, 20 * SECOND)
    assert counts[at] == pytest.approx(2000 * factor, rel=0.12, abs=1)


@pytest.mark.parametrize("workers", [1, 2, 5])
def test_the_arrivals_do_not_depend_on_the_number_of_workers(workers):
    whole = list(arrivals(plan(length=3 * SECOND)))
    parts = [one for n in range(workers) for one in arrivals(plan(length=3 * SECOND), n, workers)]
    assert sorted(parts) == whole and len(whole) > 1000
    assert whole != list(arrivals(plan(length=3 * SECOND, seed=2)))


def test_op_attributes_follow_the_distributions():
    found = list(arrivals(plan(length=20 * SECOND, zipf=1.0, keys=100)))
    assert sum(a.op.name == "get" for a in found) / len(found) == pytest.approx(0.75, abs=0.02)
    harmonic = sum(1 / n for n in range(1, 101))
    assert sum(a.key == "k0" for a in found) / len(found) == pytest.approx(1 / harmonic, rel=0.1)
    assert mean(a.work for a in found if a.op.name == "put") == pytest.approx(200_000, rel=0.05)
    assert len({(a.client, a.target) for a in found}) == len(
        {a.client for a in found}
    )  # a client always uses its home target


@pytest.mark.parametrize(
    "shape, test, share",
    [
        (Shape("hot_key", 5 * SECOND, 5 * SECOND, share=0.4), lambda a: a.key.startswith("hot"), 0.4),
        (Shape("shift", 5 * SECOND, 5 * SECOND, share=1.0, target=2), lambda a: a.target == 2, 1.0),
        (Shape("mix", 5 * SECOND, 5 * SECOND, shares=(("put", 1.0),)), lambda a: a.op.name == "put", 1.0),
    ],
)
def test_shapes_turn_the_traffic_and_move_no_time(shape, test, share):
    plain, turned = list(arrivals(plan())), list(arrivals(plan(shapes=(shape,))))
    assert [a.at for a in plain] == [a.at for a in turned]
    within = [a for a in turned if 5 * SECOND <= a.at < 10 * SECOND]
    assert sum(test(a) for a in within) / len(within) == pytest.approx(share, abs=0.04)
    assert [a for a in turned if a.at < 5 * SECOND] == [a for a in plain if a.at < 5 * SECOND]


# ---- latencies


def test_histograms_merge_without_loss_and_come_back_as_they_were():
    whole, parts = Latencies(), [Latencies() for _ in range(3)]
    for n in range(3000):
        for one in (whole, parts[n % 3]):
            one.record_sent(n * 1000, n * 1000 + n % 7)
            one.record_outcome("get", "acked" if n % 10 else "aborted", n * 1000, n * 1000 + 37 * n)
    merged = Latencies()
    for part in parts:
        merged.merge(decode_latencies(json.loads(json.dumps(part.export()))))
    assert (
        merged.percentiles() == whole.percentiles()
        and merged.outcomes == whole.outcomes
        and merged.ops() == 3000
    )
    assert merged.late.get_max_value() == whole.late.get_max_value()


ADDRESS = ("10.0.0.1", 9000)


def start_server(world, stalls=(), work=1_000):
    """A server that answers nothing during `stalls`, given as (from, until) in us."""
    loop = world.host("server").loop

    def answer(asked):
        now = loop.now()
        until = max([b for a, b in stalls if a <= now < b], default=now)
        yield from loop.sleep(until - now + work)
        return HttpReply(200, b"")

    loop.spawn(serve_http(loop, listen(loop, ADDRESS), answer), "http")


def run_sender(world, load, during=lambda host: None):
    host = world.host("generator")
    sender = Sender(host.loop, [ADDRESS], arrivals(load), SECOND * 2)
    task = host.loop.spawn(sender.run(), "load")
    during(host)
    watcher = world.host("watcher")

    def wait():
        while not task.done:
            yield from watcher.loop.sleep(SECOND // 10)

    world.run(watcher.loop.spawn(wait(), "wait"))
    return sender


def test_a_stall_of_the_service_shows_as_late_ops_and_not_as_fewer():
    """A stall of 2 s in 10 s delays a fifth of the ops by up to 2 s, so the 90th percentile is 1 s."""
    world = World(1, lambda rng: 100)
    start_server(world, [(5 * SECOND, 7 * SECOND)])
    sender = run_sender(world, plan(arrivals="even", rate=200.0, length=10 * SECOND, targets=1))
    latencies = sender.latencies
    both = latencies.acked["get"]
    both.add(latencies.acked["put"])
    assert latencies.ops() == 1999 and both.get_total_count() == 1999  # the first arrives after 5 ms
    assert both.get_value_at_percentile(50) < 3_000
    assert both.get_value_at_percentile(90) == pytest.approx(SECOND, rel=0.03)
    assert both.get_value_at_percentile(99) == pytest.approx(1.9 * SECOND, rel=0.03)
    assert both.get_max_value() == pytest.approx(2 * SECOND, rel=0.02)
    assert faults([worker_metrics(sender, 0, 0.2)], 1) == []


def test_a_generator_that_stalls_is_not_certified_and_its_ops_count_from_when_they_were_meant():
    world = World(1, lambda rng: 100)
    start_server(world)

    def stall(host):
        other = world.host("hand")
        other.loop.at(5 * SECOND, host.pause)
        other.loop.at(7 * SECOND, host.resume)

    sender = run_sender(world, plan(arrivals="even", rate=200.0, length=10 * SECOND, targets=1), stall)
    found = faults([worker_metrics(sender, 0, 0.2)], 1)
    assert len(found) == 2 and "late at the 99th" in found[0] and "late once" in found[1]
    assert sender.sent == 1999 and sender.latencies.acked["get"].get_max_value() > 1.9 * SECOND


def test_a_service_that_answers_nothing_ends_in_op_timeouts():
    world = World(1, lambda rng: 100)
    start_server(world, [(0, 1 << 60)])
    sender = run_sender(world, plan(arrivals="even", rate=50.0, length=2 * SECOND, targets=1))
    assert (
        sum(sender.latencies.outcomes["get"].values()) == sender.latencies.outcomes["get"]["timed out"] > 50
    )


def test_what_would_be_too_many_in_flight_is_left_out_and_said(monkeypatch):
    monkeypatch.setattr("cedarshift.load.sender.MAX_IN_FLIGHT", 20)
    world = World(1, lambda rng: 100)
    start_server(world, [(0, 1 << 60)])
    sender = run_sender(world, plan(arrivals="even", rate=50.0, length=2 * SECOND, targets=1))
    assert sender.left_out == 79 and "left out 79 of 99" in faults([worker_metrics(sender, 0, 0.1)], 1)[0]


@pytest.mark.parametrize(
    "figures, wanted, expected",
    [
        ([WorkerMetrics(0, 100, 100, 0, 400, 9_000, 0.3)], 1, []),
        ([], 2, ["2 of 2 workers died"]),
        ([WorkerMetrics(0, 100, 100, 0, 6_000, 9_000, 0.3)], 1, ["late at the 99th"]),
        ([WorkerMetrics(0, 100, 100, 0, 400, 200_000, 0.3)], 1, ["late once"]),
        ([WorkerMetrics(0, 100, 100, 0, 400, 9_000, 0.9)], 1, ["start more workers"]),
        ([WorkerMetrics(0, 100, 99, 1, 400, 9_000, 0.3)], 1, ["left out 1 of 100"]),
    ],
)
def test_when_a_run_is_not_certified(figures, wanted, expected):
    found = faults(figures, wanted)
    assert len(found) == len(expected) and all(part in text for part, text in zip(expected, found))


# ---- traces


def csv(tmp_path, rows, head="time,op_type,key", name="t.csv"):
    text = "\n".join([head, *rows]) + "\n"
    path = tmp_path / name
    pack = {"gz": gzip.compress, "zst": zstandard.ZstdCompressor().compress}.get(
        name.rpartition(".")[2], bytes
    )
    path.write_bytes(pack(text.encode()))
    return str(path)


VALID_ROWS = ["10,get,a", "10.5,put,b", "12,get,c"]


@pytest.mark.parametrize("name", ["t.csv", "t.csv.gz", "t.csv.zst"])
def test_a_sound_trace(tmp_path, name):
    got = tr.read(csv(tmp_path, VALID_ROWS, name=name), tr.TraceSettings())
    assert [(row.at, row.op_type, row.key) for row in got.rows] == [
        (0, "get", "a"),
        (500_000, "put", "b"),
        (2_000_000, "get", "c"),
    ]
    assert got.notices == [] and got.dropped == 0


def test_a_parquet_trace_with_clients_and_work_at_twice_the_speed(tmp_path):
    path = str(tmp_path / "t.parquet")
    pl.DataFrame(
        {
            "time": [1000, 3000],
            "op_type": ["get", "put"],
            "key": ["a", "b"],
            "client": ["x", "y"],
            "work_us": [5, 6],
        }
    ).write_parquet(path)
    got = tr.read(path, tr.TraceSettings(unit="ms", speed=2.0))
    assert got.rows == [tr.Row(0, "get", "a", "x", 5), tr.Row(1_000_000, "put", "b", "y", 6)]


@pytest.mark.parametrize(
    "rows, terms, ats, expected",
    [
        (
            ["0,get,a", "5,get,b", "3,get,c"],
            {},
            [0, 3, 5],
            "1 rows older than one above them were put in their place: 4",
        ),
        (["0,get,a", "5,get,b", "3,get,c"], {"back": "drop"}, [0, 5], "dropped: 4"),
        (
            ["0,get,a", "7200,get,b", "7201,get,c"],
            {},
            [0, 7200, 7201],
            "1 rows come after a gap of over 60 s; the gaps were kept: 3",
        ),
        (["0,get,a", "7200,get,b", "7201,get,c"], {"gaps": "close"}, [0, 60, 61], "were shortened: 3"),
        (
            ["0,get,a", ",get,b", "2,,c", "3,get,"],
            {"empty": "drop"},
            [0],
            "3 rows without a time, op type or key were dropped: 3, 4, 5",
        ),
        (
            ["0,get,a", "x,get,b", "nan,get,c", "3,get,d"],
            {"empty": "drop"},
            [0, 3],
            "2 rows with a time or work that is no number were dropped: 3, 4",
        ),
    ],
)
def test_what_is_odd_is_told_with_its_row_and_handled_as_asked(tmp_path, rows, terms, ats, expected):
    got = tr.read(csv(tmp_path, rows), tr.TraceSettings(**terms))
    assert [row.at // SECOND for row in got.rows] == ats and any(expected in line for line in got.notices), (
        got.notices
    )
    assert len(got.rows) + got.dropped == len(rows)


@pytest.mark.parametrize(
    "rows, head, terms, expected",
    [
        (VALID_ROWS, "when,op_type,key", {}, "columns time are missing; there are when, op_type, key"),
        (["0,get,a", "5,get,b", "3,get,c"], "time,op_type,key", {"back": "refuse"}, ":4: its time is before"),
        (["0,get,a", "7200,get,b"], "time,op_type,key", {"gaps": "refuse"}, ":3: 7200 s without a row"),
        (["0,get,a", ",get,b"], "time,op_type,key", {}, ":3: it has no time"),
        (["0,get,a", "1e999,get,b"], "time,op_type,key", {}, ":3: it has a time or work"),
    ],
)
def test_a_trace_that_is_refused_names_the_row(tmp_path, rows, head, terms, expected):
    with pytest.raises(tr.InvalidTrace, match=expected):
        tr.read(csv(tmp_path, rows, head), tr.TraceSettings(**terms))


def test_a_file_that_is_no_trace(tmp_path):
    (tmp_path / "t.parquet").write_bytes(b"no parquet")
    with pytest.raises(tr.InvalidTrace, match="t.parquet"):
        tr.read(str(tmp_path / "t.parquet"), tr.TraceSettings())
    with pytest.raises(FileNotFoundError):
        tr.read(str(tmp_path / "none.csv"), tr.TraceSettings())


# ---- files and the command


@pytest.mark.parametrize(
    "old, new, expected",
    [
        ("rate     = 200", "rate = 0", "rate = 0"),
        ('"bursty"', '"odd"', '"poisson", "bursty", "heavy", "even"'),
        ("share = 0.3", "share = 2", 'in shape "hot_key"'),
        ('shape "ramp"', 'shape "rump"', "shape 'rump' is unknown"),
        ("seed     = 1", "burst_times = 9", "bursts alone are more than the rate"),
        ('shape "hot_key" {', 'shape "shift" {\n    target = 4', "there are 1"),
        ("to   = 1", "too = 1", "to is missing"),
        ("seed     = 1", 'seed = 1\n  trace {\n    file = "none.csv"\n    unit = "h"\n  }', "unit"),
    ],
)
def test_every_error_of_a_load_file_has_its_reason(tmp_path, old, new, expected):
    assert old in EXAMPLE
    (tmp_path / "l.hcl").write_text(EXAMPLE.replace(old, new, 1))
    with pytest.raises(InvalidFile) as found:
        load_file(str(tmp_path / "l.hcl"))
    assert any(expected in str(problem) for problem in found.value.problems), found.value.problems


@pytest.fixture
def endpoint(tmp_path):
    """A stand-in endpoint in its own process."""
    ports = Ports(real_loop())
    address = ports.take()
    (tmp_path / "plan.json").write_text(json.dumps({"name": "e0", "address": address, "cores": 64}))
    process = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "cedarshift.standins",
            "endpoint",
            str(tmp_path / "plan.json"),
            str(tmp_path / "record.jsonl"),
        ],
        cwd=os.path.dirname(__file__) + "/..",
    )
    yield address
    process.kill()
    process.wait()
    ports.release()


def test_the_command_sends_all_with_two_workers_and_writes_a_report(tmp_path, endpoint):
    """Certification is not asserted, since it depends on the machine."""
    text = (
        EXAMPLE.replace("127.0.0.1:9000", f"{endpoint[0]}:{endpoint[1]}")
        .replace('"10s"', '"2s"')
        .replace("rate     = 200", "rate = 100")
    )
    (tmp_path / "l.hcl").write_text(text)
    got = CliRunner().invoke(
        main, ["load", str(tmp_path / "l.hcl"), "--out", str(tmp_path / "report.json"), "--quiet"]
    )
    report = json.loads((tmp_path / "report.json").read_text())
    wanted = len(list(arrival_times(load_file(str(tmp_path / "l.hcl")).plan)))
    assert report["ops"] == wanted > 50 and len(report["workers"]) == 2
    assert report["outcomes"]["tile-fetch"]["acked"] > 20 and report["latency_ms"]["tile-fetch"]["p50"] > 1
    assert got.exit_code == (0 if report["certified"] else 1) and "tile-fetch" in got.output


def test_a_trace_is_played_and_what_is_not_is_told(tmp_path, endpoint):
    csv(tmp_path, ["0,tile-fetch,a", "0.2,odd,b", "0.4,tile-fetch,c", "99,tile-fetch,d"])
    text = EXAMPLE.replace("127.0.0.1:9000", f"{endpoint[0]}:{endpoint[1]}").replace('"10s"', '"1s"')
    (tmp_path / "l.hcl").write_text(text.replace("seed     = 1", 'seed = 1\n  trace { file = "t.csv" }'))
    got = CliRunner().invoke(main, ["load", str(tmp_path / "l.hcl"), "--out", str(tmp_path / "report.json")])
    report = json.loads((tmp_path / "report.json").read_text())
    assert report["ops"] == 3 and report["outcomes"]["odd"] == {"acked": 1}
    assert any("odd" in line for line in report["trace"]) and any(
        "1 rows of the trace lie beyond" in line for line in report["trace"]
    )
    assert "lie beyond" in got.output
