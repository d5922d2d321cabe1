"""Protocol errors. Each closes the session; all but PeerClosed are sent to the peer in a Bye."""


class ProtocolError(Exception):
    """`code` identifies the error in a Bye; the message says what was received and what is allowed."""

    code = "protocol"


class FrameTooLarge(ProtocolError):
    """A frame exceeds the size limit."""

    code = "frame-too-large"


class BadVersion(ProtocolError):
    """The major protocol version is not supported."""

    code = "bad-version"


class UnknownKind(ProtocolError):
    """The message kind is unknown."""

    code = "unknown-kind"


class BadBody(ProtocolError):
    """A frame is truncated or its body cannot be decoded."""

    code = "bad-body"


class OutOfOrder(ProtocolError):
    """The message is not allowed in this state or between these roles."""

    code = "out-of-order"


class TooManyMessages(ProtocolError):
    """The peer sent more messages per second than allowed."""

    code = "too-many-messages"


class Refused(ProtocolError):
    """One side rejected the identity or the proof of the other during the handshake."""

    code = "refused"


class Busy(ProtocolError):
    """The accepting side takes no more sessions now; the peer may retry after `after` microseconds."""

    code = "busy"

    def __init__(self, text: str, after: int) -> None:
        super().__init__(text)
        self.after = after


class PeerClosed(ProtocolError):
    """The peer sent a Bye with this code and reason. `after`: minimum delay before a retry (us)."""

    code = "peer-closed"

    def __init__(self, text: str, after: int = 0) -> None:
        super().__init__(text)
        self.after = after
