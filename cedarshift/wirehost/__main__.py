"""Hosts pilots on the simulator's wire: standard input to calls, answers to standard output."""

from __future__ import annotations

import sys
from typing import Any

import orjson

from cedarshift.brain import Pilot
from cedarshift.codec.platform.settings import UNIT, round_down, round_up, terms
from cedarshift.interface import Entry, pull_decisions


class Malformed(Exception):
    """A line that the wire does not allow."""


def entry(raw: dict) -> Entry:
    started = raw.get("since_ns")
    return Entry(
        raw["endpoint"],
        raw.get("phase") or "on",
        float(raw.get("size") or 0) or 1.0,
        raw.get("hall") or "",
        round_up(started) if started else None,
    )


class Host:
    """One process's pilots."""

    def __init__(self) -> None:
        self.pilots: dict[str, Pilot] = {}

    def feed(self, now: int, name: str, cmd: str, m: dict) -> None:
        if cmd == "spawn":
            self.pilots[name] = Pilot(terms(m.get("prng"), m.get("env") or {}))
            return
        pilot = self.pilots.get(name)
        if pilot is None:
            raise Malformed(f"{cmd} for unknown pilot {name!r}")
        if cmd == "crash_now":
            del self.pilots[name]
        elif cmd == "alarm":
            pilot.on_alarm(now, m["nonce"])
        elif cmd == "tally":
            pilot.on_endpoint_report(
                now,
                m["endpoint"],
                m.get("hall") or "",
                m["total"],
                m["lost"],
                round_up(m.get("took_ns")),
                round_up(m.get("period_len_ns")),
            )
        elif cmd == "key_load":
            pilot.on_slice_report(
                now, m["set_id"], m.get("kind") or "", m["total"], m["lost"], round_up(m.get("period_len_ns"))
            )
        elif cmd == "applied":
            pilot.on_ack(now, m["forwarder"], m["rev"], round_down(m.get("took_ns")))
        elif cmd == "attached":
            pilot.on_join(now, m["forwarder"], m.get("hall") or "")
        elif cmd == "lost_stream":
            pilot.on_leave(now, m["forwarder"])
        elif cmd == "tenure":
            pilot.on_slice_assigned(now, m["set_id"], bool(m["yes"]))
        elif cmd == "held":
            pilot.on_stored_owner(now, m["set_id"], m["endpoint"])
        elif cmd == "roster_change":
            pilot.on_list(now, m["kind"], [entry(e) for e in m.get("elements") or []])
        elif cmd not in ("ingress", "probed", "memo"):
            raise Malformed(f"unknown cmd {cmd!r}")

    @staticmethod
    def line(name: str, d: tuple) -> dict:
        verb = d[0]
        if verb == "line":
            out = {"cmd": "weigh", "size": d[3], "set_id": d[1], "endpoint": d[2]}
        elif verb == "level":
            out = {"cmd": "allow", "set_id": d[1], "mask": d[2], "quota": d[3], "how": d[4]}
        elif verb == "mark":
            out = {"cmd": "seal", "rev": d[1], "yes": d[2]}
        elif verb == "wake":
            out = {"cmd": "wake_at", "wait_ns": d[1] * UNIT, "nonce": d[2]}
        elif verb == "ask_list":
            out = {"cmd": "tail", "yes": d[1]}
        elif verb == "install":
            out = {"cmd": "install", "forwarder": d[1], "mask": d[2], "set_id": d[3]}
        elif verb == "note":
            out = {"cmd": "record", "text": d[1]}
        else:
            raise ValueError(f"unknown decision {verb!r}")
        out["pilot"] = name
        return out


def serve(source: Any, sink: Any) -> None:
    """Answers batch after batch until the input ends."""
    host, now, touched, broken = Host(), None, [], {}
    for raw in source:
        try:
            m = orjson.loads(raw)
            cmd = m["cmd"]
            if cmd == "tick":
                now, touched, broken = round_down(m["ts_ns"]), [], {}
                continue
            if now is None:
                raise Malformed(f"{cmd} before a tick")
            if cmd != "flush":
                name = m["pilot"]
        except (orjson.JSONDecodeError, KeyError, TypeError, AttributeError, Malformed) as e:
            raise Malformed(f"malformed line ({type(e).__name__}: {e}): {raw[:200]!r}") from None
        if cmd != "flush":
            if name not in touched:
                touched.append(name)
            try:
                host.feed(now, name, cmd, m)
            except Malformed:
                raise
            except Exception as e:  # the module's fault goes on the wire, with its text
                if isinstance(e, (KeyError, TypeError, ValueError)) and _from_host(e):
                    raise Malformed(f"malformed {cmd} ({type(e).__name__}: {e}): {raw[:200]!r}") from None
                broken.setdefault(name, f"{type(e).__name__}: {e}")
            continue
        reply = []
        for name in touched:
            pilot = host.pilots.get(name)
            try:
                if name not in broken and pilot:
                    reply.extend(host.line(name, d) for d in pull_decisions(pilot, now))
            except Exception as e:
                broken[name] = f"{type(e).__name__}: {e}"
            if name in broken:
                reply.append({"cmd": "broken", "pilot": name, "text": broken[name]})
        sink.write(b"".join(orjson.dumps(r) + b"\n" for r in reply) + b'{"cmd":"done"}\n')
        sink.flush()


def _from_host(e: BaseException) -> bool:
    """True where the fault arose in this file, so in reading the line and not in the module."""
    tb = e.__traceback__
    while tb and tb.tb_next:
        tb = tb.tb_next
    return bool(tb) and tb.tb_frame.f_code.co_filename == __file__


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except Malformed as e:
        print(f"cedarshift.wirehost: {e}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
