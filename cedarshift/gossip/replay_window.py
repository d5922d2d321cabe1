"""Drops datagrams that come again."""

REPLAY_WINDOW_SIZE = 64  # sequence numbers per sender


class ReplayWindow:
    """Anti-replay window over the sequence numbers of one sender (RFC 4303, section 3.4.3)."""

    def __init__(self) -> None:
        self.start = -1
        self.newest = 0
        self.seen = 0

    def accept(self, start: int, seq: int) -> bool:
        """Record a sequence number; return False if it is a duplicate or too old."""
        if start != self.start:
            if start < self.start:
                return False
            self.start, self.newest, self.seen = start, seq, 1
            return True
        ahead = seq - self.newest
        if ahead > 0:
            self.seen = (self.seen << min(ahead, REPLAY_WINDOW_SIZE) | 1) & ((1 << REPLAY_WINDOW_SIZE) - 1)
            self.newest = seq
            return True
        if -ahead >= REPLAY_WINDOW_SIZE or self.seen >> -ahead & 1:
            return False
        self.seen |= 1 << -ahead
        return True
