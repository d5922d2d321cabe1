import io
import json

import pytest

from cedarshift.wirehost import __main__ as wire

TICK, FLUSH = '{"cmd":"tick","ts_ns":1000000}', '{"cmd":"flush"}'
SPAWN = '{"cmd":"spawn","pilot":"pilot/0","prng":1,"env":{"new":1,"rules":null,"family_info":{"ranges":1}}}'


def run(*lines):
    out = io.BytesIO()
    wire.serve([line.encode() for line in lines], out)
    return [json.loads(line) for line in out.getvalue().splitlines()]


def test_unknown_keys_and_nulls_are_passed_over():
    assert [m["cmd"] for m in run(TICK, SPAWN, FLUSH)] == ["done"]


@pytest.mark.parametrize(
    "line",
    [
        "{not json",
        "[]",
        '{"pilot":"pilot/0"}',
        '{"cmd":"shrug","pilot":"pilot/0"}',
        '{"cmd":"alarm","pilot":"pilot/9","nonce":1}',
        '{"cmd":"attached","pilot":"pilot/0"}',
    ],
)
def test_a_malformed_line_fails_plainly(line, monkeypatch, capsys):
    lines = io.BytesIO("\n".join([TICK, SPAWN, line, FLUSH]).encode())
    monkeypatch.setattr(wire.sys, "stdin", type("In", (), {"buffer": lines}))
    monkeypatch.setattr(wire.sys, "stdout", type("Out", (), {"buffer": io.BytesIO()}))
    assert wire.main() == 2
    assert capsys.readouterr().err.startswith("cedarshift.wirehost: ")


def test_a_fault_of_the_module_is_reported_with_its_text(monkeypatch):
    monkeypatch.setattr(wire.Pilot, "next_decision", lambda self, now: 1 // 0)
    reply = run(TICK, SPAWN, '{"cmd":"alarm","pilot":"pilot/0","nonce":1}', FLUSH)
    assert reply[0]["cmd"] == "broken" and "ZeroDivisionError" in reply[0]["text"]
