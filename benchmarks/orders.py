"""Order latency from decision to ack at 10, 70 and 300 proxies, and lines per second that a pilot can push.

For comparison, the same run pushes the same frames with a plain asyncio server and, as a lower bound, with
bare send and recv calls on sockets. The peers run in one process and are the same in all three cases:
they read frames and acknowledge each order that carries a mark.

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

LINES_PER_ORDER = 8  # as in a busy hand-over
TURNS = 200


def order_frame(seq: int) -> bytes:
    lines = pack_rows([m.Line(n, f"10.0.{n}.1:7500", 1.0, 3) for n in range(LINES_PER_ORDER)])
    return encode_order(seq, 0, lines, pack_rows([]), seq % 65_536)


def run_peers(port: int, count: int, handshake: bool, stop: Any) -> None:
    """Runs all peers in one process, driven by epoll on raw sockets."""
    poll, socks, buffers = select.epoll(), {}, {}
    for n in range(count):
        sock = socket.create_connection(("127.0.0.1", port))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if handshake:
            _complete_handshake(sock, f"x{n}")
        poll.register(sock.fileno(), select.EPOLLIN)
        socks[sock.fileno()], buffers[sock.fileno()] = sock, bytearray()
    while not stop.is_set():
        for number, _ in poll.poll(0.1):
            try:
                data = socks[number].recv(65_536)
            except ConnectionResetError:  # the pusher has finished
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
                if buffer[4] == 17:  # message type of an order
                    acks += encode(m.Ack(_decode_mark(bytes(buffer[HEADER.size : 4 + length]))))
                del buffer[: 4 + length]
            try:
                socks[number].sendall(acks)
            except (BrokenPipeError, ConnectionResetError):
                pass


ORDER_DECODER: Any = None


def _decode_mark(body: bytes) -> int:
    global ORDER_DECODER
    if ORDER_DECODER is None:
        import msgspec

        ORDER_DECODER = msgspec.msgpack.Decoder(m.Order)
    return ORDER_DECODER.decode(body).mark


def _complete_handshake(sock: socket.socket, name: str) -> None:
    session = Session(Identity("bench", "proxy", name))
    while session.state != "open":
        session.receive(0, sock.recv(65_536))
        sock.sendall(session.take_outbox())


def push_by_loop(count: int, turns: int, started: Callable[[int], None]) -> list[float]:
    """Returns the seconds of each turn from the first send to the last ack, pushed by the pilot's loop."""
    loop = real_loop()
    listener = listen(loop, ("127.0.0.1", 0))
    links: list = []
    latencies_s: list[float] = []
    state = {"left": 0, "waker": None}

    def serve_link(link: Any, first: list) -> Any:
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
        rows = pack_rows([m.Line(n, f"10.0.{n}.1:7500", 1.0, 3) for n in range(LINES_PER_ORDER)])
        for turn in range(turns):
            started_at = time.perf_counter()
            state["left"] = count
            for link in links:  # rows are packed once, as in the pilot
                link.send_frame(encode_order(turn + 1, 0, rows, pack_rows([]), turn))
            while state["left"] > 0:
                state["waker"] = loop.waker()
                yield
                state["waker"] = None
            latencies_s.append(time.perf_counter() - started_at)

    make = lambda: Session(Identity("bench", "pilot", "p0"), lambda hello: m.Welcome(1), b"")  # noqa: E731
    loop.spawn(serve(loop, listener, make, serve_link, lambda event, **fields: None), "accept")
    started(listener.address[1])
    loop.run(loop.spawn(main(), "main"))
    return latencies_s


def push_by_asyncio(count: int, turns: int, started: Callable[[int], None]) -> list[float]:
    """Pushes with an asyncio server; returns the seconds of each turn."""
    latencies_s: list[float] = []

    async def main() -> None:
        writers: list = []
        acks_left = [0]
        done = asyncio.Event()

        async def one(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writers.append(writer)
            frames = Frames()
            try:
                while data := await reader.read(65_536):
                    frames.feed(data)
                    acks_left[0] -= sum(1 for _ in frames.messages())
                    if acks_left[0] <= 0:
                        done.set()
            except asyncio.CancelledError:
                pass

        server = await asyncio.start_server(one, "127.0.0.1", 0)
        started(server.sockets[0].getsockname()[1])
        while len(writers) < count:
            await asyncio.sleep(0.01)
        rows = pack_rows([m.Line(n, f"10.0.{n}.1:7500", 1.0, 3) for n in range(LINES_PER_ORDER)])
        for turn in range(turns):
            started_at = time.perf_counter()
            acks_left[0] = count
            done.clear()
            for writer in writers:
                writer.write(encode_order(turn + 1, 0, rows, pack_rows([]), turn))
            await done.wait()
            latencies_s.append(time.perf_counter() - started_at)
        server.close()

    asyncio.run(main())
    return latencies_s


def push_by_bare_sockets(count: int, turns: int, started: Callable[[int], None]) -> list[float]:
    """Pushes with system calls alone, as a lower bound; acks are counted by their bytes."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
    started(listener.getsockname()[1])
    socks = []
    for _ in range(count):
        sock, _ = listener.accept()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        socks.append(sock)
    poll = select.epoll()
    by_number = {s.fileno(): s for s in socks}
    for s in socks:
        poll.register(s.fileno(), select.EPOLLIN)
    latencies_s = []
    for turn in range(turns):
        started_at = time.perf_counter()
        frame = order_frame(turn + 1)
        for s in socks:
            s.send(frame)
        acks_left = len(encode(m.Ack(turn))) * count
        while acks_left > 0:
            for number, _ in poll.poll():
                acks_left -= len(by_number[number].recv(65_536))
        latencies_s.append(time.perf_counter() - started_at)
    return latencies_s


def measure(name: str, push: Callable, count: int, turns: int, handshake: bool) -> dict[str, float]:
    stop = multiprocessing.Event()
    workers = []

    def started(port: int) -> None:
        worker = multiprocessing.Process(target=run_peers, args=(port, count, handshake, stop))
        worker.start()
        workers.append(worker)

    latencies_s = sorted(push(count, turns, started))
    stop.set()
    for worker in workers:
        worker.join()
    messages = count * turns
    return {
        "p50": latencies_s[len(latencies_s) // 2] * 1e3,
        "p99": latencies_s[len(latencies_s) * 99 // 100] * 1e3,
        "max": latencies_s[-1] * 1e3,
        "us_a_message": sum(latencies_s) / messages * 1e6,
        "lines_per_s": messages * LINES_PER_ORDER / sum(latencies_s),
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
        f"orders of {LINES_PER_ORDER} lines, {args.turns} turns, best of {args.rounds} rounds; from the "
        f"first send to the last ack"
    )
    print(
        f"{'proxies':>8} {'pushed by':<14} {'p50 ms':>8} {'p99 ms':>8} {'max ms':>8} {'us/message':>11} "
        f"{'lines/s':>10} {'x floor':>8}"
    )
    for count in (int(n) for n in args.proxies.split(",")):
        best: dict[str, dict[str, float]] = {}
        for _ in range(args.rounds):
            for name, push, handshake in (
                ("bare sockets", push_by_bare_sockets, False),
                ("asyncio", push_by_asyncio, False),
                ("cedarshift", push_by_loop, True),
            ):
                measurement = measure(name, push, count, args.turns, handshake)
                if name not in best or measurement["us_a_message"] < best[name]["us_a_message"]:
                    best[name] = measurement
        for name, measurement in best.items():
            print(
                f"{count:>8} {name:<14} {measurement['p50']:>8.2f} {measurement['p99']:>8.2f} "
                f"{measurement['max']:>8.2f} {measurement['us_a_message']:>11.1f} "
                f"{measurement['lines_per_s']:>10.0f} "
                f"{measurement['us_a_message'] / best['bare sockets']['us_a_message']:>8.2f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
