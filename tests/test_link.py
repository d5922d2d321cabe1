"""A link to a peer that breaks off while others are served by the same loop."""

from program import virtual_loop

from cedarshift.codec import Identity, Session
from cedarshift.codec import messages as m
from cedarshift.link import connect, serve
from cedarshift.loop import StreamBroken, listen

DOOR = ("10.0.0.1", 1)


def test_a_message_to_a_peer_that_has_just_broken_off_is_dropped_and_its_reader_hears_why():
    """A store that answers several pilots in one loop must not end with one of them."""
    loop, heard = virtual_loop(), []

    def handler(link, first):
        yield from loop.sleep(1_000)
        link.stream.transport.abort()  # and nobody has looked yet
        link.send(m.Ping(1))
        link.send(m.Ping(2))
        try:
            yield from link.receive()
        except StreamBroken as error:
            heard.append(str(error))

    store = Identity("d", "store", "store", "", b"")
    loop.spawn(
        serve(
            loop,
            listen(loop, DOOR),
            lambda: Session(store, lambda hello: m.Welcome(1)),
            handler,
            lambda *a, **k: None,
        ),
        "serve",
    )

    def main():
        yield from connect(loop, DOOR, Session(Identity("d", "pilot", "p0", "", b"")), 1_000_000)
        yield from loop.sleep(10_000)

    loop.run(loop.spawn(main(), "main"))
    assert len(heard) == 1 and "reset" in heard[0]
