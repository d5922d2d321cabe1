"""Carries out a day's faults on the running fleet. Each fault is a coroutine of its own; what is done is recorded."""

from __future__ import annotations

import signal
from typing import Any, Callable, Optional

from cedarshift.loop.core import Coroutine
from cedarshift.rehearsal.day import Day, Fault
from cedarshift.rehearsal.stage import Stage


class Faults:
    def __init__(self, stage: Stage, day: Day, say: Callable[[str], None]) -> None:
        self.stage = stage
        self.day = day
        self.say = say
        self.deployed = 0

    def spawn_all(self, begin: int) -> None:
        for number, fault in enumerate(self.day.faults):
            run = getattr(self, "_" + fault.kind, None)
            if run is not None:  # bursts, hot keys and shifts are in the clients' plans from the start
                self.stage.loop.spawn(self._at(fault, begin, run), f"fault {number} {fault.kind}")

    def _at(self, fault: Fault, begin: int, run: Callable[[dict[str, Any]], Coroutine]) -> Coroutine:
        yield from self.stage.loop.sleep(begin + fault.at - self.stage.loop.now())
        self.note(fault.kind, fault.values)
        yield from run(fault.values)

    def note(self, what: str, values: dict[str, Any]) -> None:
        self.stage.recorder.note("fault", what, {k: v for k, v in values.items() if k != "at"})
        shown = ", ".join(
            f"{k} {v / 1e6:g} s" if k in ("for", "every", "drain", "delay") else f"{k} {v}"
            for k, v in values.items()
            if k != "at"
        )
        self.say(f"{what}: {shown}")

    def _wait(self, span: int) -> Coroutine:
        yield from self.stage.loop.sleep(span)

    # ---- pilots and the store

    def _restart(self, name: str, after: int) -> Coroutine:
        yield from self._wait(after)
        self.stage.fleet.start(name)
        self.note("started again", {"name": name})

    def _kill_pilot(self, v: dict[str, Any]) -> Coroutine:
        name = f"p{v['which']}"
        self.stage.fleet.kill(name)
        yield from self._restart(name, v["for"])

    def _kill_pilot_in_order(self, v: dict[str, Any]) -> Coroutine:
        """Killed when an order with lines has reached just so many proxies; the relay stops the rest."""
        name, fleet = f"p{v['which']}", self.stage.fleet
        yield from fleet.ask("relay", "/control", {"arm": name, "passes": v["after"]})
        until = self.stage.loop.now() + 20_000_000
        while self.stage.loop.now() < until:
            reply = yield from fleet.ask("relay", "/sprung")
            if reply is not None and f'"{name}"'.encode() in reply.body:
                break
            yield from self._wait(5_000)
        fleet.kill(name)
        self.note("killed in an order", {"name": name, "after": v["after"]})
        yield from fleet.ask("relay", "/control", {"disarm": name})
        yield from self._restart(name, v["for"])

    def _pause_pilot(self, v: dict[str, Any]) -> Coroutine:
        self.stage.fleet.signal(f"p{v['which']}", signal.SIGSTOP)
        yield from self._wait(v["for"])
        self.stage.fleet.signal(f"p{v['which']}", signal.SIGCONT)

    def _pause_proxy(self, v: dict[str, Any]) -> Coroutine:
        self.stage.fleet.signal(f"x{v['which']}", signal.SIGSTOP)
        yield from self._wait(v["for"])
        self.stage.fleet.signal(f"x{v['which']}", signal.SIGCONT)

    def _reload_pilot(self, v: dict[str, Any]) -> Coroutine:
        self.stage.fleet.signal(f"p{v['which']}", signal.SIGHUP)
        yield from self._wait(0)

    def _stop_pilot(self, v: dict[str, Any]) -> Coroutine:
        name = f"p{v['which']}"
        self.stage.fleet.leave(name)
        yield from self._wait(v["for"])
        self.stage.fleet.kill(name)
        yield from self._restart(name, 0)

    def _kill_store(self, v: dict[str, Any]) -> Coroutine:
        self.stage.fleet.kill("store")
        yield from self._restart("store", v["for"])

    def _cut_store(self, v: dict[str, Any]) -> Coroutine:
        yield from self._links([f"p{v['which']}>store"], v["how"], v["for"])

    def _cut_list(self, v: dict[str, Any]) -> Coroutine:
        yield from self._links(self.stage.list_links(f"p{v['which']}"), v["how"], v["for"])

    # ---- proxies and links

    def _links(self, names: list[str], mode: str, span: int, delay: int = 0) -> Coroutine:
        order: dict[str, Any] = {"links": names, "mode": mode, "delay_ms": delay / 1000}
        if span:
            order["for_s"] = span / 1e6
        yield from self.stage.fleet.ask("relay", "/control", order)

    def _proxy_links(self, proxies: list[str]) -> list[str]:
        return [f"{x}>{p}" for x in proxies for p in self.stage.pilots]

    def _kill_proxy(self, v: dict[str, Any]) -> Coroutine:
        name = f"x{v['which']}"
        self.stage.fleet.kill(name)
        yield from self._restart(name, v["for"])

    def _bad_proxy(self, v: dict[str, Any]) -> Coroutine:
        yield from self._wait(0)  # it took the plain one's place when the fleet came up

    def _loose_pilots(self, v: dict[str, Any]) -> Coroutine:
        yield from self._wait(0)  # their files were written so

    def _reconnect(self, v: dict[str, Any]) -> Coroutine:
        links = self._proxy_links(self.stage.proxies)
        self.stage.chance.shuffle(links)
        yield from self._links(links[: max(1, round(len(links) * v["share"]))], "reset", 0)

    def _cut_proxies(self, v: dict[str, Any]) -> Coroutine:
        names = self.stage.proxies[: v["count"]]
        yield from self._links(self._proxy_links(names), v["how"], v["for"])

    def _slow_channel(self, v: dict[str, Any]) -> Coroutine:
        yield from self._links(self._proxy_links(self.stage.proxies), "pass", v["for"], v["delay"])

    def _slow_link(self, v: dict[str, Any]) -> Coroutine:
        names = [x for x in self.stage.proxies if self.stage.zone_of[x] == v["from"]]
        for name in names:
            yield from self.stage.fleet.ask(
                name, "/control", {"slow_zone": v["to"], "slow_ms": v["delay"] / 1000}
            )
        yield from self._wait(v["for"])
        for name in names:
            yield from self.stage.fleet.ask(name, "/control", {})

    # ---- endpoints

    def _endpoint(self, v: dict[str, Any]) -> Optional[str]:
        """The one meant by `which`, among those that run now."""
        running = [e for e in self.stage.endpoints if self.stage.fleet.alive(e)]
        return running[v["which"] % len(running)] if running else None

    def _for_a_while(self, v: dict[str, Any], order: dict[str, Any], undo: dict[str, Any]) -> Coroutine:
        name = self._endpoint(v)
        if name is not None:
            yield from self.stage.fleet.ask(name, "/control", order)
            yield from self._wait(v["for"])
            if undo:
                yield from self.stage.fleet.ask(name, "/control", undo)

    def _hang(self, v: dict[str, Any]) -> Coroutine:
        yield from self._for_a_while(v, {"hang_s": v["for"] / 1e6}, {})

    def _fast_errors(self, v: dict[str, Any]) -> Coroutine:
        yield from self._for_a_while(v, {"fail": v["share"]}, {"fail": 0.0})

    def _class_fail(self, v: dict[str, Any]) -> Coroutine:
        yield from self._for_a_while(v, {"fail_type": v["op_type"]}, {"fail_type": ""})

    def _cut_replies(self, v: dict[str, Any]) -> Coroutine:
        yield from self._for_a_while(v, {"cut": v["share"]}, {"cut": 0.0})

    def _slow_endpoint(self, v: dict[str, Any]) -> Coroutine:
        yield from self._for_a_while(v, {"slow": v["times"]}, {"slow": 1.0})

    def _kill_endpoint(self, v: dict[str, Any]) -> Coroutine:
        name = self._endpoint(v)
        if name is not None:
            self.stage.fleet.kill(name)
            self.stage.announce(name, "off", self.day.notice)
            yield from self._wait(v["for"])
            self.stage.start_endpoint(name, cold=True)
            self.stage.announce(name, "on", self.day.add_notice)

    def _some(self, count: int) -> list[str]:
        """So many of those that run, spread over the zones and kinds as they come."""
        running = [e for e in self.stage.endpoints if self.stage.fleet.alive(e)]
        return running[:: max(1, len(running) // max(1, count))][:count]

    def _order_all(self, names: list[str], order: dict[str, Any]) -> Coroutine:
        calls = [
            self.stage.loop.spawn(self.stage.fleet.ask(name, "/control", order), "control") for name in names
        ]
        for call in calls:
            yield from call.join()

    def _slow_many(self, v: dict[str, Any]) -> Coroutine:
        names = self._some(v["count"])
        yield from self._order_all(names, {"slow": v["times"]})
        yield from self._wait(v["for"])
        yield from self._order_all(names, {"slow": 1.0})

    def _outage(self, v: dict[str, Any]) -> Coroutine:
        yield from self._order_all(self._some(len(self.stage.endpoints)), {"hang_s": v["for"] / 1e6})

    def _flap(self, v: dict[str, Any]) -> Coroutine:
        names, until = self._some(v["count"]), self.stage.loop.now() + v["for"]
        while self.stage.loop.now() < until:
            yield from self._order_all(names, {"fail": 1.0})
            yield from self._wait(v["every"])
            yield from self._order_all(names, {"fail": 0.0})
            yield from self._wait(v["every"])

    def _herd(self, v: dict[str, Any]) -> Coroutine:
        names = ["store", *self.stage.pilots[: -(-len(self.stage.pilots) // 2)]]
        for name in names:
            self.stage.fleet.kill(name)
        yield from self._wait(v["for"])
        for name in names:
            self.stage.fleet.start(name)
        self.note("started again", {"names": names})

    def _deaf_pilot(self, v: dict[str, Any]) -> Coroutine:
        """Of what goes between it and each other pilot nothing comes to it, whoever began the talk."""
        me, span = self.stage.pilots[v["which"]], v["for"] / 1e6
        others = [name for name in self.stage.pilots if name != me]
        yield from self._one_way([f"{other}~{me}" for other in others], "there", span)
        yield from self._one_way([f"{me}~{other}" for other in others], "back", span)

    def _one_way(self, links: list[str], way: str, span: float) -> Coroutine:
        yield from self.stage.fleet.ask(
            "relay", "/control", {"links": links, "mode": "drop", "way": way, "for_s": span}
        )

    def _half_blind(self, v: dict[str, Any]) -> Coroutine:
        me = self.stage.pilots[v["which"]]
        yield from self._links(
            [f"{x}>{me}" for x in self.stage.proxies if self.stage.zone_of[x] != v["zone"]], "drop", v["for"]
        )

    def _deploy(self, v: dict[str, Any]) -> Coroutine:
        for _ in range(v["count"]):
            old = self.stage.endpoints[self.deployed % len(self.stage.endpoints)]
            self.deployed += 1
            self.stage.start_endpoint(self.stage.new_endpoint(like=old), cold=True)
            self.stage.announce(self.stage.endpoints[-1], "on", self.day.add_notice)
            self.stage.loop.spawn(self._retire(old, v["drain"]), f"retire {old}")
            yield from self._wait(v["every"])

    def _shrink(self, v: dict[str, Any]) -> Coroutine:
        for _ in range(v["count"]):
            old = self.stage.endpoints[self.deployed % len(self.stage.endpoints)]
            self.deployed += 1
            self.stage.loop.spawn(self._retire(old, v["drain"]), f"retire {old}")
        yield from self._wait(0)

    def _retire(self, name: str, drain: int) -> Coroutine:
        self.stage.announce(name, "fading", self.day.notice)
        yield from self._wait(self.day.notice + drain)
        self.stage.fleet.kill(name)
        self.stage.announce(name, "off", self.day.notice)

    # ---- the list

    def _list_unreachable(self, v: dict[str, Any]) -> Coroutine:
        yield from self.stage.fleet.ask("list", "/control", {"mode": "unreachable", "for_s": v["for"] / 1e6})

    def _list_wrong(self, v: dict[str, Any]) -> Coroutine:
        names = [e for e in self.stage.endpoints if self.stage.fleet.alive(e)][: v["count"]]
        for name in names:
            self.stage.announce(name, "off", 0)
        yield from self._wait(v["for"])
        for name in names:
            if self.stage.fleet.alive(name):
                self.stage.announce(name, "on", 0)

    # ---- the ensemble

    def _order_ensemble(self, order: dict[str, Any]) -> Coroutine:
        yield from self.stage.fleet.ask("list", "/control", order)

    def _expire(self, v: dict[str, Any]) -> Coroutine:
        running = [e for e in self.stage.endpoints if self.stage.fleet.alive(e)]
        first = v["which"] % max(1, len(running))
        yield from self._order_ensemble({"expire": (running[first:] + running[:first])[: v["count"]]})

    def _expire_all(self, v: dict[str, Any]) -> Coroutine:
        yield from self._order_ensemble({"expire": "all"})

    def _expire_pilot(self, v: dict[str, Any]) -> Coroutine:
        yield from self._order_ensemble({"expire": [f"p{v['which']}"]})

    def _cut_server(self, v: dict[str, Any]) -> Coroutine:
        yield from self._order_ensemble({"cut": [v["which"]]})
        yield from self._wait(v["for"])
        yield from self._order_ensemble({"heal": [v["which"]]})

    def _lag_server(self, v: dict[str, Any]) -> Coroutine:
        yield from self._order_ensemble({"lag_ms": {str(v["which"]): v["delay"] / 1000}})
        yield from self._wait(v["for"])
        yield from self._order_ensemble({"lag_ms": {str(v["which"]): 0}})
