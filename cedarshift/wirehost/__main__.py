"""Runs decision modules for the simulator, by JSON lines on standard input and output.

A "tick" line sets the time. The lines after it report events to the named pilots, and "flush" requests the
decisions of those pilots, which are answered with a line each and a final "done". The protocol calls a proxy
a forwarder, a slice a set, a zone a hall and a mark a seal; an endpoint list is a roster.
"""

from __future__ import annotations

import sys
from typing import Any

import orjson

from cedarshift.brain import Pilot
from cedarshift.codec.platform.settings import TENTH_MS_NS, parse_terms, round_down, round_up
from cedarshift.interface import Entry, pull_decisions


class Malformed(Exception):
    """An input line that the protocol does not allow."""


def decode_entry(raw: dict) -> Entry:
    """Decodes an endpoint of the list."""
    started = raw.get("since_ns")
    return Entry(
        raw["endpoint"],
        raw.get("phase") or "on",
        float(raw.get("size") or 0) or 1.0,
        raw.get("hall") or "",
        round_up(started) if started else None,
    )


class Host:
    """Decision modules by the name of their pilot."""

    def __init__(self) -> None:
        self.pilots: dict[str, Pilot] = {}

    def handle_event(self, now: int, name: str, command: str, message: dict) -> None:
        """Creates or removes a pilot, or passes it an event.

        Raises Malformed for an unknown pilot or command.
        """
        if command == "spawn":
            self.pilots[name] = Pilot(parse_terms(message.get("prng"), message.get("env") or {}))
            return
        pilot = self.pilots.get(name)
        if pilot is None:
            raise Malformed(f"{command} for unknown pilot {name!r}")
        if command == "crash_now":
            del self.pilots[name]
        elif command == "alarm":
            pilot.on_alarm(now, message["nonce"])
        elif command == "tally":
            pilot.on_endpoint_report(
                now,
                message["endpoint"],
                message.get("hall") or "",
                message["total"],
                message["lost"],
                round_up(message.get("took_ns")),
                round_up(message.get("period_len_ns")),
            )
        elif command == "key_load":
            pilot.on_slice_report(
                now,
                message["set_id"],
                message.get("kind") or "",
                message["total"],
                message["lost"],
                round_up(message.get("period_len_ns")),
            )
        elif command == "applied":
            pilot.on_ack(now, message["forwarder"], message["rev"], round_down(message.get("took_ns")))
        elif command == "attached":
            pilot.on_join(now, message["forwarder"], message.get("hall") or "")
        elif command == "lost_stream":
            pilot.on_leave(now, message["forwarder"])
        elif command == "tenure":
            pilot.on_slice_assigned(now, message["set_id"], bool(message["yes"]))
        elif command == "held":
            pilot.on_stored_owner(now, message["set_id"], message["endpoint"])
        elif command == "roster_change":
            pilot.on_list(now, message["kind"], [decode_entry(e) for e in message.get("elements") or []])
        elif command not in ("ingress", "probed", "memo"):
            raise Malformed(f"unknown cmd {command!r}")

    @staticmethod
    def encode_decision(name: str, decision: tuple) -> dict:
        """Encodes a decision of a pilot."""
        verb = decision[0]
        if verb == "line":
            out = {"cmd": "weigh", "size": decision[3], "set_id": decision[1], "endpoint": decision[2]}
        elif verb == "level":
            out = {
                "cmd": "allow",
                "set_id": decision[1],
                "mask": decision[2],
                "quota": decision[3],
                "how": decision[4],
            }
        elif verb == "mark":
            out = {"cmd": "seal", "rev": decision[1], "yes": decision[2]}
        elif verb == "wake":
            out = {"cmd": "wake_at", "wait_ns": decision[1] * TENTH_MS_NS, "nonce": decision[2]}
        elif verb == "ask_list":
            out = {"cmd": "tail", "yes": decision[1]}
        elif verb == "install":
            out = {"cmd": "install", "forwarder": decision[1], "mask": decision[2], "set_id": decision[3]}
        elif verb == "note":
            out = {"cmd": "record", "text": decision[1]}
        else:
            raise ValueError(f"unknown decision {verb!r}")
        out["pilot"] = name
        return out


def serve(source: Any, sink: Any) -> None:
    """Answers each flush until the input ends.

    Raises Malformed for an invalid line. A fault of the decision module is answered by a "broken" line.
    """
    host, now, touched, broken = Host(), None, [], {}
    for raw in source:
        try:
            message = orjson.loads(raw)
            command = message["cmd"]
            if command == "tick":
                now, touched, broken = round_down(message["ts_ns"]), [], {}
                continue
            if now is None:
                raise Malformed(f"{command} before a tick")
            if command != "flush":
                name = message["pilot"]
        except (orjson.JSONDecodeError, KeyError, TypeError, AttributeError, Malformed) as e:
            raise Malformed(f"malformed line ({type(e).__name__}: {e}): {raw[:200]!r}") from None
        if command != "flush":
            if name not in touched:
                touched.append(name)
            try:
                host.handle_event(now, name, command, message)
            except Malformed:
                raise
            except Exception as e:  # a fault of the decision module is reported in the reply
                if isinstance(e, (KeyError, TypeError, ValueError)) and _from_host(e):
                    raise Malformed(f"malformed {command} ({type(e).__name__}: {e}): {raw[:200]!r}") from None
                broken.setdefault(name, f"{type(e).__name__}: {e}")
            continue
        reply = []
        for name in touched:
            pilot = host.pilots.get(name)
            try:
                if name not in broken and pilot:
                    reply.extend(host.encode_decision(name, d) for d in pull_decisions(pilot, now))
            except Exception as e:
                broken[name] = f"{type(e).__name__}: {e}"
            if name in broken:
                reply.append({"cmd": "broken", "pilot": name, "text": broken[name]})
        sink.write(b"".join(orjson.dumps(r) + b"\n" for r in reply) + b'{"cmd":"done"}\n')
        sink.flush()


def _from_host(error: BaseException) -> bool:
    """Whether an exception was raised in this file, by a malformed line, and not in the decision module."""
    traceback = error.__traceback__
    while traceback and traceback.tb_next:
        traceback = traceback.tb_next
    return bool(traceback) and traceback.tb_frame.f_code.co_filename == __file__


def main() -> int:
    """Serves standard input and output; returns the exit code."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except Malformed as e:
        print(f"cedarshift.wirehost: {e}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
