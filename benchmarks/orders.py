"""Orders: from the decision to in force at 10, 70 and 300 proxies, and lines a second that a pilot can push.

Beside it, in the same run, the same frames pushed to as many peers, each answering with an ack, by a plain asyncio server
and by a bare loop of send and recv over blocking sockets as the floor. Peers run in a process of their own and are the
same in all three: they read frames and answer each order that carries a mark.

    python -m benchmarks.orders [--proxies 10,70,300] [--turns 200]
"""

from __future__ import annotations

import argparse
import asyncio
import multiprocessing
import select
import socket
import struct
import time
from typing import Any, Callable

from cedarshift.codec import Identity, Session
from cedarshift.codec import messages as m
from cedarshift.codec.frames import HEADER, Frames, encode, encode_order, pack_rows
from cedarshift.link import serve
from cedarshift.loop import listen
from cedarshift.loop.epoll import real_loop

LINES = 8  # lines a turn: a busy hand-over
TURNS = 200


def order_frame(seq: int) -> bytes:
    lines = pack_rows([m.Line(n, f"10.0.{n}.1:7500", 1.0, 3) for n in range(LINES)])
    return encode_order(seq, 0, lines, pack_rows([]), seq % 65_536)


# ---- the peers, one process for all, driven by epoll on raw sockets


def peers(port: int, count: int, handshake: bool, stop: Any) -> None:
    poll, socks, buffers = select.epoll(), {}, {}
    for n in range(count):
        sock = socket.create_connection(("127.0.0.1", port))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if handshake:
            _shake(sock, f"x{n}")
        poll.register(sock.fileno(), select.EPOLLIN)
        socks[sock.fileno()], buffers[sock.fileno()] = sock, bytearray()
    while not stop.is_set():
        for number, _ in poll.poll(0.1):
            try:
                data = socks[number].recv(65_536)
            except ConnectionResetError:  # the pusher has measured enough
                data = b""
            if not data:
                poll.unregister(number)
                continue
            buffer = buffers[number]
            buffer += data
            acks = b""
            while len(buffer) >= 4:
                length = struct.unpack_from(">I", buffer)[0]
                if len(buffer) < 4 + length:
                    break
                if buffer[4] == 17:  # an order: its mark is not needed, the sequence stands for it
                    acks += encode(m.Ack(_mark(bytes(buffer[HEADER.size : 4 + length]))))
                del buffer[: 4 + length]
            try:
                socks[number].sendall(acks)
            except (BrokenPipeError, ConnectionResetError):
                pass


DECODER: Any = None


def _mark(body: bytes) -> int:
    global DECODER
    if DECODER is None:
        import msgspec

        DECODER = msgspec.msgpack.Decoder(m.Order)
    return DECODER.decode(body).mark


def _shake(sock: socket.socket, name: str) -> None:
    session = Session(Identity("bench", "proxy", name))
    while session.state != "open":
        session.receive(0, sock.recv(65_536))
        sock.sendall(session.take_outbox())


# ---- the three pushers: each returns the seconds from the first send of a turn to its last ack, for every turn


def by_loop(count: int, turns: int, started: Callable[[int], None]) -> list[float]:
    loop = real_loop()
    door = listen(loop, ("127.0.0.1", 0))
    links: list = []
    took: list[float] = []
    state = {"left": 0, "waker": None}

    def talk(link: Any, first: list) -> Any:
        links.append(link)
        try:
            while True:
                for _ in (yield from link.receive()):
                    state["left"] -= 1
                if state["left"] <= 0 and state["waker"] is not None:
                    state["waker"].wake()
        finally:
            links.remove(link)

    def main() -> Any:
        while len(links) < count:
            yield from loop.sleep(10_000)
        rows = pack_rows([m.Line(n, f"10.0.{n}.1:7500", 1.0, 3) for n in range(LINES)])
        for turn in range(turns):
            begun = time.perf_counter()
            state["left"] = count
            for link in links:  # as the pilot does: rows packed once, head and sequence each
                link.send_frame(encode_order(turn + 1, 0, rows, pack_rows([]), turn))
            while state["left"] > 0:
                state["waker"] = loop.waker()
                yield
                state["waker"] = None
            took.append(time.perf_counter() - begun)

    make = lambda: Session(Identity("bench", "pilot", "p0"), lambda hello: m.Welcome(1), b"")  # noqa: E731
    loop.spawn(serve(loop, door, make, talk, lambda event, **fields: None), "accept")
    started(door.address[1])
    loop.run(loop.spawn(main(), "main"))
    return took


def by_asyncio(count: int, turns: int, started: Callable[[int], None]) -> list[float]:
    took: list[float] = []

    async def main() -> None:
        writers: list = []
        left = [0]
        done = asyncio.Event()

        async def one(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writers.append(writer)
            frames = Frames()
            try:
                while data := await reader.read(65_536):
                    frames.feed(data)
                    left[0] -= sum(1 for _ in frames.messages())
                    if left[0] <= 0:
                        done.set()
            except asyncio.CancelledError:
                pass

        server = await asyncio.start_server(one, "127.0.0.1", 0)
        started(server.sockets[0].getsockname()[1])
        while len(writers) < count:
            await asyncio.sleep(0.01)
        rows = pack_rows([m.Line(n, f"10.0.{n}.1:7500", 1.0, 3) for n in range(LINES)])
        for turn in range(turns):
            begun = time.perf_counter()
            left[0] = count
            done.clear()
            for writer in writers:
                writer.write(encode_order(turn + 1, 0, rows, pack_rows([]), turn))
            await done.wait()
            took.append(time.perf_counter() - begun)
        server.close()

    asyncio.run(main())
    return took


def by_bare_sockets(count: int, turns: int, started: Callable[[int], None]) -> list[float]:
    """The floor: the kernel's calls and nothing else. Acks are counted by their bytes."""
    door = socket.create_server(("127.0.0.1", 0), backlog=1024)
    started(door.getsockname()[1])
    socks = []
    for _ in range(count):
        sock, _ = door.accept()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        socks.append(sock)
    poll = select.epoll()
    by_number = {s.fileno(): s for s in socks}
    for s in socks:
        poll.register(s.fileno(), select.EPOLLIN)
    took = []
    for turn in range(turns):
        begun = time.perf_counter()
        frame = order_frame(turn + 1)
        for s in socks:
            s.send(frame)
        left = len(encode(m.Ack(turn))) * count
        while left > 0:
            for number, _ in poll.poll():
                left -= len(by_number[number].recv(65_536))
        took.append(time.perf_counter() - begun)
    return took


def measure(name: str, push: Callable, count: int, turns: int, handshake: bool) -> dict[str, float]:
    stop = multiprocessing.Event()
    workers = []

    def started(port: int) -> None:
        worker = multiprocessing.Process(target=peers, args=(port, count, handshake, stop))
        worker.start()
        workers.append(worker)

    took = sorted(push(count, turns, started))
    stop.set()
    for worker in workers:
        worker.join()
    messages = count * turns
    return {
        "p50": took[len(took) // 2] * 1e3,
        "p99": took[len(took) * 99 // 100] * 1e3,
        "max": took[-1] * 1e3,
        "us_a_message": sum(took) / messages * 1e6,
        "lines_per_s": messages * LINES / sum(took),
    }


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--proxies", default="10,70,300")
    parser.add_argument("--turns", type=int, default=TURNS)
    parser.add_argument(
        "--rounds", type=int, default=3, help="the best of so many rounds counts: the machine is shared"
    )
    args = parser.parse_args()
    print(
        f"orders of {LINES} lines, {args.turns} turns, best of {args.rounds} rounds; from the first send to the last ack"
    )
    print(
        f"{'proxies':>8} {'pushed by':<14} {'p50 ms':>8} {'p99 ms':>8} {'max ms':>8} {'us/message':>11} {'lines/s':>10} {'x floor':>8}"
    )
    for count in (int(n) for n in args.proxies.split(",")):
        best: dict[str, dict[str, float]] = {}
        for _ in range(args.rounds):
            for name, push, handshake in (
                ("bare sockets", by_bare_sockets, False),
                ("asyncio", by_asyncio, False),
                ("cedarshift", by_loop, True),
            ):
                got = measure(name, push, count, args.turns, handshake)
                if name not in best or got["us_a_message"] < best[name]["us_a_message"]:
                    best[name] = got
        for name, got in best.items():
            print(
                f"{count:>8} {name:<14} {got['p50']:>8.2f} {got['p99']:>8.2f} {got['max']:>8.2f} {got['us_a_message']:>11.1f} "
                f"{got['lines_per_s']:>10.0f} {got['us_a_message'] / best['bare sockets']['us_a_message']:>8.2f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
