"""Tests of links whose peer disconnects while the same loop serves others."""

from program import virtual_loop

from cedarshift.codec import Identity, Session
from cedarshift.codec import messages as m
from cedarshift.link import connect, serve
from cedarshift.loop import StreamBroken, listen

ADDRESS = ("10.0.0.1", 1)


def test_a_message_to_a_disconnected_peer_is_dropped_and_its_reader_gets_the_error():
    """Guards against one disconnected pilot stopping a store that serves several."""
    loop, errors = virtual_loop(), []

    def handler(link, first):
        yield from loop.sleep(1_000)
        link.stream.transport.abort()  # not noticed by either side yet
        link.send(m.Ping(1))
        link.send(m.Ping(2))
        try:
            yield from link.receive()
        except StreamBroken as error:
            errors.append(str(error))

    store = Identity("d", "store", "store", "", b"")
    loop.spawn(
        serve(
            loop,
            listen(loop, ADDRESS),
            lambda: Session(store, lambda hello: m.Welcome(1)),
            handler,
            lambda *a, **k: None,
        ),
        "serve",
    )

    def main():
        yield from connect(loop, ADDRESS, Session(Identity("d", "pilot", "p0", "", b"")), 1_000_000)
        yield from loop.sleep(10_000)

    loop.run(loop.spawn(main(), "main"))
    assert len(errors) == 1 and "reset" in errors[0]
