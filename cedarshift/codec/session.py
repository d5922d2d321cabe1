"""The state machine of a session: handshake, permitted messages and limits. Free of I/O.

    accepting side:  start() -> Greet      GREETED --Hello--> OPEN --Bye/error--> CLOSED
    dialing side:                          WAITING --Greet--> HELLOED --Welcome--> OPEN --Bye/error--> CLOSED

`receive` takes bytes and returns the messages for the application. Frames of the handshake, Pongs and Byes
are collected in `outbox` for the caller to send.
"""

from __future__ import annotations

import hashlib
import hmac
from typing import Callable, NamedTuple, Optional

from cedarshift.codec import messages as m
from cedarshift.codec.errors import OutOfOrder, PeerClosed, ProtocolError, Refused, TooManyMessages
from cedarshift.codec.frames import MAX_FRAME_BYTES, Frames, encode

RATE_WINDOW_US = 1_000_000  # over which messages are counted
MAX_ID_LENGTH = 128  # characters
MAX_HELLO_BYTES = 8_192  # of a frame before the peer has said who it is

# States of a session, see the diagram above.
WAITING, GREETED, HELLOED, OPEN, CLOSED = "waiting", "greeted", "helloed", "open", "closed"

# Messages allowed in an open session, by (role of the sender, role of the receiver).
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
    """The identity of one side of a session. An empty `secret` disables authentication."""

    deployment: str
    role: str
    id: str
    zone: str = ""
    secret: bytes = b""


def proof(secret: bytes, challenge: bytes, name: str) -> bytes:
    """HMAC-SHA256 (RFC 2104) of the challenge and the id of the proving side; empty without a secret."""
    return hmac.new(secret, challenge + name.encode(), hashlib.sha256).digest() if secret else b""


class Session:
    """One side of a session.

    `admit(hello)`, given on the accepting side only, returns the Welcome, or raises Refused or Busy to reject
    the peer. `peer` is set during the handshake, `welcome` on the dialing side at its end.
    `challenge`: random bytes over which the peer proves that it knows the secret.
    `max_messages_per_s`: limit on messages from the peer, 0 for none. `max_frame_bytes`: limit on the length
    of a frame from the peer; the accepting side allows MAX_HELLO_BYTES until it has admitted the peer."""

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
        self.max_frame_bytes = max_frame_bytes
        self.frames = Frames(max_frame_bytes if admit is None else min(max_frame_bytes, MAX_HELLO_BYTES))
        self.state = WAITING
        self.peer: Optional[Identity] = None
        self.welcome: Optional[m.Welcome] = None
        self.outbox: list[bytes] = []
        self.pending_error: Optional[ProtocolError] = None
        self.rate_since = 0
        self.rate_count = 0

    def start(self) -> None:
        """Adds the Greet to the outbox; called once, on the accepting side only."""
        assert self.admit is not None and self.state == WAITING
        self.state = GREETED
        self._queue(m.Greet(self.identity.deployment, self.identity.role, self.identity.id, self.challenge))

    def receive(self, now: int, data: bytes) -> list[m.Message]:
        """Decodes bytes received at `now` (us) and returns the messages for the application.

        On a ProtocolError the session is closed and `outbox` ends with a Bye, unless the peer has closed it.
        If messages precede the error, they are returned and the next call raises the error."""
        received: list[m.Message] = []
        self.raise_pending_error()
        self.frames.feed(data)
        try:
            for message in self.frames.messages():
                self._check_rate(now)
                self._handle(message, received)
        except ProtocolError as error:
            self.close(error.code, str(error), getattr(error, "after", 0))
            if not received:
                raise
            self.pending_error = error
        return received

    def raise_pending_error(self) -> None:
        """Raises the error of an earlier `receive`, if any."""
        if self.pending_error is not None:
            raise self.pending_error

    def send(self, message: m.Message) -> bytes:
        """Returns a message of the application as a frame, which the caller sends.

        Asserts that the session is open and that the roles allow the message."""
        assert self.state == OPEN and self.peer is not None, f"{type(message).__name__} while {self.state}"
        assert isinstance(message, ALLOWED_MESSAGES[self.identity.role, self.peer.role] + (m.Ping,)), type(
            message
        ).__name__
        return encode(message)

    def close(self, code: str, reason: str, after: int = 0) -> None:
        """Adds a Bye to the outbox and closes the session. `after`: minimum delay before a retry (us)."""
        if self.state != CLOSED:
            self.state = CLOSED
            self._queue(m.Bye(code, reason[:400], after))

    def take_outbox(self) -> bytes:
        """Returns the frames to be sent and clears the outbox."""
        out = b"".join(self.outbox)
        self.outbox.clear()
        return out

    def _queue(self, message: m.Message) -> None:
        self.outbox.append(encode(message))

    def _check_rate(self, now: int) -> None:
        """Enforces the message rate limit."""
        if now - self.rate_since >= RATE_WINDOW_US:
            self.rate_since, self.rate_count = now, 0
        self.rate_count += 1
        if self.max_messages_per_s and self.rate_count > self.max_messages_per_s:
            raise TooManyMessages(f"more than {self.max_messages_per_s} messages per second")

    def _handle(self, message: m.Message, received: list[m.Message]) -> None:
        """Processes a message; appends it to `received` if it is for the application."""
        if isinstance(message, m.Bye):
            self.state = CLOSED
            raise PeerClosed(f"{message.code}: {message.reason}", message.after)
        if self.state == OPEN:
            self._handle_open(message, received)
        elif self.state == GREETED and isinstance(message, m.Hello):
            self._handle_hello(message)
        elif self.state == WAITING and isinstance(message, m.Greet):
            self._handle_greet(message)
        elif self.state == HELLOED and isinstance(message, m.Welcome):
            self._handle_welcome(message)
        else:
            raise OutOfOrder(f"{type(message).__name__} while {self.state}")

    def _handle_open(self, message: m.Message, received: list[m.Message]) -> None:
        assert self.peer is not None
        if isinstance(message, m.Ping):
            self._queue(m.Pong(message.nonce))
        elif isinstance(message, m.Pong):
            pass
        elif isinstance(message, ALLOWED_MESSAGES.get((self.peer.role, self.identity.role), ())):
            received.append(message)
        else:
            raise OutOfOrder(f"{type(message).__name__} from a {self.peer.role} to a {self.identity.role}")

    def _handle_hello(self, hello: m.Hello) -> None:
        assert self.admit is not None
        if hello.deployment != self.identity.deployment:
            raise Refused(f"deployment {hello.deployment!r}, expected {self.identity.deployment!r}")
        if not 0 < len(hello.id) <= MAX_ID_LENGTH or not hello.id.isprintable():
            raise Refused(
                f"an id of {len(hello.id)} characters, 1 to {MAX_ID_LENGTH} printable ones are allowed"
            )
        if (hello.role, self.identity.role) not in ALLOWED_MESSAGES:
            raise Refused(f"role {hello.role!r} may not connect to a {self.identity.role}")
        if not hmac.compare_digest(hello.proof, proof(self.identity.secret, self.challenge, hello.id)):
            raise Refused("invalid proof of the deployment's secret")
        welcome = self.admit(hello)
        welcome.proof = proof(self.identity.secret, hello.challenge, self.identity.id)
        self.peer = Identity(hello.deployment, hello.role, hello.id, hello.zone)
        self.state = OPEN
        self.frames.max_bytes = self.max_frame_bytes
        self._queue(welcome)

    def _handle_greet(self, greet: m.Greet) -> None:
        if greet.deployment != self.identity.deployment:
            raise Refused(f"deployment {greet.deployment!r}, expected {self.identity.deployment!r}")
        if (self.identity.role, greet.role) not in ALLOWED_MESSAGES:
            raise Refused(f"the peer is a {greet.role}, to which a {self.identity.role} may not connect")
        self.peer = Identity(greet.deployment, greet.role, greet.id)
        self.state = HELLOED
        identity = self.identity
        self._queue(
            m.Hello(
                identity.deployment,
                identity.role,
                identity.id,
                identity.zone,
                proof(identity.secret, greet.challenge, identity.id),
                self.challenge,
            )
        )

    def _handle_welcome(self, welcome: m.Welcome) -> None:
        """Authenticates the accepting side, which has to know the secret too."""
        assert self.peer is not None
        if not hmac.compare_digest(welcome.proof, proof(self.identity.secret, self.challenge, self.peer.id)):
            raise Refused("the other side's proof of the deployment's secret is invalid")
        self.state, self.welcome = OPEN, welcome
