"""Checks of the rules on what proxies and endpoints see, with the bounds and excuses of the pages."""

from __future__ import annotations

SOCKET_SLACK = 0.3  # seconds by which time limits are longer on sockets
SLACK = 0.05  # of this process's own clock
CALL_BROKEN, CALL_SILENT = 0.5, 1.5  # seconds that time limits wait


class Rules:
    """`waits`: (time, length) of each wait of the time limits, which a broken call or news gives."""

    def __init__(self, platform, record):
        self.platform, self.record = platform, record
        self.rules = platform.settings["rules"]
        self.told: dict[str, float] = {}  # endpoint -> when the pilot was told that it has to be left
        self.waits: list[tuple[float, float]] = []
        self.late: dict[str, float] = {}  # endpoint -> by how much the drain grace was exceeded at most
        self.writes: dict[int, dict[str, float]] = {}  # slice -> endpoint -> end of its last write
        self.owners: dict[int, list[str]] = {}  # slice -> endpoints that accepted a write, in order
        self.twice: list[str] = []
        self.without: dict[int, float] = {}  # slice -> since when some proxy has no line
        self.empty: dict[int, float] = {}

        platform.on_send, platform.on_write, platform.on_table = self.on_send, self.on_write, self.on_table
        platform.on_told = self.on_told

    def on_told(self, now, endpoint):
        if endpoint.lifecycle != "ready":
            self.told.setdefault(endpoint.name, now)

    def summary(self):
        late = {name: f"{over:.2f} s" for name, over in self.late.items()}
        self.record.write("check", f"drain grace exceeded by: {late}; two owners: {self.twice}")
        if self.empty:
            self.record.write("check", f"longest time without a line: {max(self.empty.values()):.2f} s")

    def excused(self, since):
        return sum(length for at, length in self.waits if at >= since)

    def on_send(self, now, proxy, number, name, endpoint, work):
        told = self.told.get(endpoint.name)
        if told is not None and proxy.joined:
            told = max(told, proxy.joined_at)
            grace = self.rules["drain_grace_ns"] / 1e9 + SOCKET_SLACK + SLACK + self.excused(told)
            over = now - told - grace
            if over > self.late.get(endpoint.name, 0.0):
                if endpoint.name not in self.late:
                    self.record.write(
                        "check",
                        f"proxy {proxy.number} sends to {endpoint.name} {now - told:.2f} s after its leaving"
                        f" was told; {grace:.2f} s are allowed",
                    )
                self.late[endpoint.name] = over

    def on_write(self, now, number, endpoint, ends):
        held = self.writes.setdefault(number, {})
        owners = self.owners.setdefault(number, [])
        for other, until in held.items():
            if other != endpoint.name and until > now:
                self.twice.append(f"slice {number}: {other} and {endpoint.name}")
                self.record.write("check", f"two owners of {self.twice[-1]}")
        if not owners or owners[-1] != endpoint.name:
            owners.append(endpoint.name)
        held[endpoint.name] = max(ends, held.get(endpoint.name, 0.0))

    def on_table(self, now, number):
        """A proxy's table of a slice has changed."""
        lacks = any(p.joined and number not in p.table for p in self.platform.proxies.values())
        if lacks:
            self.without.setdefault(number, now)
        elif number in self.without:
            since = self.without.pop(number)
            length = now - since - self.excused(since)
            self.empty[number] = max(self.empty.get(number, 0.0), length)
