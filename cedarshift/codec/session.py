"""One session's states: who greets, who may say what, and when. Free of I/O.

    accepts:  start() -> Greet      GREETED --Hello--> OPEN --Bye/error--> CLOSED
    dials:                          WAITING --Greet--> HELLOED --Welcome--> OPEN --Bye/error--> CLOSED

`receive` takes bytes and returns the messages that are the user's to handle; what the session itself has to say
collects in `outbox`. A Ping is answered here.
"""

from __future__ import annotations

import hashlib
import hmac
from typing import Callable, NamedTuple, Optional

from cedarshift.codec import messages as m
from cedarshift.codec.errors import OutOfOrder, PeerClosed, ProtocolError, Refused, TooManyMessages
from cedarshift.codec.frames import MAX_FRAME_BYTES, Frames, encode

RATE_WINDOW_US = 1_000_000  # us over which messages are counted
MAX_ID_LENGTH = 128  # characters of an id; ids end up in logs and metrics

WAITING, GREETED, HELLOED, OPEN, CLOSED = "waiting", "greeted", "helloed", "open", "closed"

# Who may say what to whom once a session is open: (role of the sender, role of the receiver).
ALLOWED_MESSAGES: dict[tuple[str, str], tuple[type[m.Message], ...]] = {
    ("proxy", "pilot"): (m.Heartbeat, m.Ack, m.ProxyReport),
    ("pilot", "proxy"): (m.Snapshot, m.Order, m.SliceAssignment, m.HeartbeatOk),
    ("pilot", "store"): (
        m.Open,
        m.Renew,
        m.SlicesReleased,
        m.Commit,
        m.Leave,
        m.BudgetSharesRequest,
        m.LeaveBudgets,
    ),
    ("store", "pilot"): (
        m.Opened,
        m.Renewed,
        m.AssignSlices,
        m.RevokeSlices,
        m.Committed,
        m.BudgetSharesReply,
    ),
    ("pilot", "pilot"): (m.FactsRequest, m.Facts, m.FactsDeclined),
    ("proxy", "store"): (m.ReadTables,),
    ("store", "proxy"): (m.Tables,),
    ("operator", "store"): (m.ReadBudgetStatus,),
    ("store", "operator"): (m.BudgetStatus,),
}


class Identity(NamedTuple):
    """How one side shows itself."""

    deployment: str
    role: str
    id: str
    zone: str = ""
    secret: bytes = b""


def proof(secret: bytes, challenge: bytes, name: str) -> bytes:
    """HMAC-SHA256 (RFC 2104) over challenge and name; empty where the deployment has no secret."""
    return hmac.new(secret, challenge + name.encode(), hashlib.sha256).digest() if secret else b""


class Session:
    """`admit(hello) -> Welcome` is asked by the accepting side; it raises Refused to turn a peer away.

    `challenge`: fresh bytes, which the other side proves the secret over, for whichever side.
    `rate_most`: messages a second that the peer may send, 0 for no limit."""

    def __init__(
        self,
        identity: Identity,
        admit: Optional[Callable[[m.Hello], m.Welcome]] = None,
        challenge: bytes = b"",
        max_messages_per_s: int = 0,
        max_frame_bytes: int = MAX_FRAME_BYTES,
    ) -> None:
        self.identity = identity
        self.admit = admit
        self.challenge = challenge
        self.max_messages_per_s = max_messages_per_s
        self.frames = Frames(max_frame_bytes)
        self.state = WAITING
        self.peer: Optional[Identity] = None
        self.welcome: Optional[m.Welcome] = None
        self.outbox: list[bytes] = []
        self.pending_error: Optional[ProtocolError] = None
        self.rate_since = 0
        self.rate_count = 0

    def start(self) -> None:
        """The accepting side greets."""
        assert self.admit is not None and self.state == WAITING
        self.state = GREETED
        self._say(m.Greet(self.identity.deployment, self.identity.role, self.identity.id, self.challenge))

    def receive(self, now: int, data: bytes) -> list[m.Message]:
        """Raises a ProtocolError, after which the session is closed and `outbox` ends with the Bye.

        What came whole before the error is returned first; `failed` then holds the error, for the next call."""
        received: list[m.Message] = []
        self.raise_pending_error()
        self.frames.feed(data)
        try:
            for message in self.frames.messages():
                self._count(now)
                self._take(message, received)
        except ProtocolError as error:
            self.close(error.code, str(error), getattr(error, "after", 0))
            if not received:
                raise
            self.pending_error = error
        return received

    def raise_pending_error(self) -> None:
        if self.pending_error is not None:
            raise self.pending_error

    def send(self, message: m.Message) -> bytes:
        """The frame of a message that the user says; asserts that the roles allow it."""
        assert self.state == OPEN and self.peer is not None, f"{type(message).__name__} while {self.state}"
        assert isinstance(message, ALLOWED_MESSAGES[self.identity.role, self.peer.role] + (m.Ping,)), type(
            message
        ).__name__
        return encode(message)

    def close(self, code: str, reason: str, after: int = 0) -> None:
        """Puts a Bye into the outbox and takes no more."""
        if self.state != CLOSED:
            self.state = CLOSED
            self._say(m.Bye(code, reason[:400], after))

    def take_outbox(self) -> bytes:
        out = b"".join(self.outbox)
        self.outbox.clear()
        return out

    def _say(self, message: m.Message) -> None:
        self.outbox.append(encode(message))

    def _count(self, now: int) -> None:
        """Guards against a peer that sends without end."""
        if now - self.rate_since >= RATE_WINDOW_US:
            self.rate_since, self.rate_count = now, 0
        self.rate_count += 1
        if self.max_messages_per_s and self.rate_count > self.max_messages_per_s:
            raise TooManyMessages(f"over {self.max_messages_per_s} messages a second")

    def _take(self, message: m.Message, received: list[m.Message]) -> None:
        if isinstance(message, m.Bye):
            self.state = CLOSED
            raise PeerClosed(f"{message.code}: {message.reason}", message.after)
        if self.state == OPEN:
            self._take_open(message, received)
        elif self.state == GREETED and isinstance(message, m.Hello):
            self._take_hello(message)
        elif self.state == WAITING and isinstance(message, m.Greet):
            self._take_greet(message)
        elif self.state == HELLOED and isinstance(message, m.Welcome):
            self._take_welcome(message)
        else:
            raise OutOfOrder(f"{type(message).__name__} while {self.state}")

    def _take_open(self, message: m.Message, received: list[m.Message]) -> None:
        assert self.peer is not None
        if isinstance(message, m.Ping):
            self._say(m.Pong(message.nonce))
        elif isinstance(message, m.Pong):
            pass
        elif isinstance(message, ALLOWED_MESSAGES.get((self.peer.role, self.identity.role), ())):
            received.append(message)
        else:
            raise OutOfOrder(f"{type(message).__name__} from a {self.peer.role} to a {self.identity.role}")

    def _take_hello(self, hello: m.Hello) -> None:
        assert self.admit is not None
        if hello.deployment != self.identity.deployment:
            raise Refused(f"deployment {hello.deployment!r}, this is {self.identity.deployment!r}")
        if not 0 < len(hello.id) <= MAX_ID_LENGTH or not hello.id.isprintable():
            raise Refused(
                f"an id of {len(hello.id)} characters, 1 to {MAX_ID_LENGTH} printable ones are allowed"
            )
        if (hello.role, self.identity.role) not in ALLOWED_MESSAGES:
            raise Refused(f"role {hello.role!r} has nothing to say to a {self.identity.role}")
        if not hmac.compare_digest(hello.proof, proof(self.identity.secret, self.challenge, hello.id)):
            raise Refused("the proof of the deployment's secret is wrong")
        welcome = self.admit(hello)
        welcome.proof = proof(self.identity.secret, hello.challenge, self.identity.id)
        self.peer = Identity(hello.deployment, hello.role, hello.id, hello.zone)
        self.state = OPEN
        self._say(welcome)

    def _take_greet(self, greet: m.Greet) -> None:
        if greet.deployment != self.identity.deployment:
            raise Refused(f"deployment {greet.deployment!r}, this is {self.identity.deployment!r}")
        if (self.identity.role, greet.role) not in ALLOWED_MESSAGES:
            raise Refused(f"a {greet.role} answers, to which a {self.identity.role} has nothing to say")
        self.peer = Identity(greet.deployment, greet.role, greet.id)
        self.state = HELLOED
        identity = self.identity
        self._say(
            m.Hello(
                identity.deployment,
                identity.role,
                identity.id,
                identity.zone,
                proof(identity.secret, greet.challenge, identity.id),
                self.challenge,
            )
        )

    def _take_welcome(self, welcome: m.Welcome) -> None:
        """The accepting side has to know the secret too: a proxy must not obey, nor a pilot believe, just anyone."""
        assert self.peer is not None
        if not hmac.compare_digest(welcome.proof, proof(self.identity.secret, self.challenge, self.peer.id)):
            raise Refused("the other side's proof of the deployment's secret is wrong")
        self.state, self.welcome = OPEN, welcome
