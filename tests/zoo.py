"""Test harness for ephemeral nodes: an ensemble, sources and members on one virtual loop."""

import random

from program import SECOND, virtual_loop

from cedarshift.roster.ephemeral import EphemeralSettings, EphemeralSource
from cedarshift.roster.formats import Member
from cedarshift.roster.register import Registration, RegistrationSettings
from cedarshift.roster.sources import SavedList
from cedarshift.standins.ensemble import Ensemble, EnsemblePlan

SERVERS = [("127.0.0.1", 2181 + n) for n in range(3)]
MEMBER_SERVERS = [
    ("127.0.0.1", 2191 + n) for n in range(3)
]  # used by members whose network can be cut separately
PATH = "/svc/tiles"
SESSION_TIMEOUT = 2 * SECOND


class ZooKeeperHarness:
    """An ensemble of three servers, a source and registered members. `updates`: changes from the source."""

    def __init__(
        self,
        form="plain",
        recursive=True,
        hold=SECOND,
        members=0,
        pools=False,
        auth=(),
        delay=200,
        reader=True,
        saved="",
        read_only=True,
        separate_networks=False,
    ):
        self.loop = virtual_loop(delay)
        self.form, self.recursive, self.hold, self.pools, self.auth, self.saved = (
            form,
            recursive,
            hold,
            pools,
            auth,
            saved,
        )
        self.read_only = read_only
        self.member_servers = MEMBER_SERVERS if separate_networks else SERVERS
        self.ensemble = Ensemble(
            self.loop, EnsemblePlan(SERVERS + (MEMBER_SERVERS if separate_networks else []), None, PATH, form)
        )
        self.members, self.updates, self.listed = {}, [], {}
        for n in range(members):
            self.member(f"h:{9000 + n}")
        if members:
            self.run(1.5)
        self.source = self.reader() if reader else None
        if reader:
            self.run(0.5)

    def run(self, seconds):
        self.loop.run(self.loop.spawn(self.loop.sleep(int(seconds * SECOND)), "wait"))

    def reader(self, seed=1):
        terms = EphemeralSettings(
            tuple(SERVERS),
            PATH,
            SESSION_TIMEOUT,
            self.form,
            "",
            self.recursive,
            self.read_only,
            self.hold,
            self.auth,
        )
        return EphemeralSource(
            self.loop,
            terms,
            self.pools,
            random.Random(seed).random,
            SavedList(self.saved),
            self.on_list,
            self.loop.report,
        )

    def on_list(self, kind, entries):
        if kind == "replace":
            self.listed.clear()
        for entry in entries:
            self.updates.append((self.loop.now(), entry.endpoint, entry.phase))
            self.listed[entry.endpoint] = entry

    def member(self, endpoint, zone="z", start="", size=1.0, auth=()):
        terms = RegistrationSettings(
            tuple(self.member_servers), PATH, SESSION_TIMEOUT, self.form, "tiles", auth
        )
        seed = random.Random(f"{endpoint} {len(self.members)}")
        registration = self.members[endpoint] = Registration(
            self.loop, terms, Member(endpoint, "on", size, zone, start), seed.random, self.loop.report
        )
        return registration

    def expire_sessions(self, *endpoints):
        self.ensemble.control({"expire": [f"{self.members[e].client.session:#x}" for e in endpoints]})

    def on(self):
        return sorted(name for name, entry in self.listed.items() if entry.phase == "on")

    def phases(self, endpoint):
        return [phase for _, name, phase in self.updates if name == endpoint]

    def reports(self, event):
        return [fields for name, fields in self.loop.events if name == event]
