"""Runs one stand-in as a process: `python -m cedarshift.standins KIND PLAN RECORD`."""

from __future__ import annotations

import importlib
import os
import sys

from cedarshift.loop import Loop
from cedarshift.loop.core import Coroutine
from cedarshift.loop.epoll import real_loop

KINDS = ("endpoint", "proxy", "client", "lists", "relay", "ensemble", "spender")


def _stop_with_parent(loop: Loop, parent: int) -> Coroutine:
    """Stops the loop once the process that started this one has exited."""
    while os.getppid() == parent:
        yield from loop.sleep(1_000_000)
    loop.stop()


def main() -> int:
    if len(sys.argv) != 4 or sys.argv[1] not in KINDS:
        print(f"usage: python -m cedarshift.standins {'|'.join(KINDS)} PLAN RECORD", file=sys.stderr)
        return 2
    kind, plan, record = sys.argv[1:]
    loop = real_loop(lambda event, **fields: print(event, fields, file=sys.stderr, flush=True))
    with open(plan, "rb") as source:
        raw = source.read()
    importlib.import_module(f"cedarshift.standins.{kind}").run(loop, raw, record)
    loop.spawn(_stop_with_parent(loop, os.getppid()), "parent watch")
    loop.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
