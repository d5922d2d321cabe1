"""Tests the stand-in ensemble with a third-party ZooKeeper client, which does not share its codec."""

import asyncio
import json
import os
import subprocess
import sys
import time
import urllib.request

import pytest

from cedarshift.loop.epoll import real_loop
from cedarshift.rehearsal.fleet import Ports

aiozk = pytest.importorskip("aiozk")
from aiozk import exc  # noqa: E402
from aiozk.states import States  # noqa: E402

SESSION_TIMEOUT_S = 10.0  # of a session that is to outlive its connection

CREATE = aiozk.protocol.CreateRequest(
    path="/m/x", data=b"", acl=[aiozk.ACL.make("world", "anyone", read=True)], flags=0
)


@pytest.fixture
def ensemble(tmp_path):
    """Starts three servers in a process; yields their addresses and a sender of control commands."""
    ports = Ports(real_loop())
    addresses = [ports.take() for _ in range(3)]
    control = ports.take()
    plan = {"addresses": addresses, "control": control, "read_path": "/m", "form": "plain", "seed": 3}
    (tmp_path / "plan.json").write_text(json.dumps(plan))
    process = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "cedarshift.standins",
            "ensemble",
            str(tmp_path / "plan.json"),
            str(tmp_path / "record.jsonl"),
        ],
        cwd=os.path.dirname(__file__) + "/..",
    )

    def send_control(**command):
        request = urllib.request.Request(
            f"http://{control[0]}:{control[1]}/control", json.dumps(command).encode(), method="POST"
        )
        return json.load(urllib.request.urlopen(request, timeout=5))

    for _ in range(200):
        try:
            send_control()
            break
        except OSError:
            time.sleep(0.05)
    yield ",".join(f"{host}:{port}" for host, port in addresses), send_control
    process.kill()
    process.wait()
    ports.release()


def run_with_timeout(coroutine):
    """Runs a coroutine with a time limit. Not by `wait_for`, as the client suppresses cancellation."""
    loop = asyncio.new_event_loop()
    task = loop.create_task(coroutine)
    loop.run_until_complete(asyncio.wait({task}, timeout=40))
    assert task.done(), "not finished within 40 s"
    return task.result()


async def retry(call):
    """Retries a call that fails while the client connects to another server."""
    for _ in range(40):
        try:
            return await call()
        except (exc.ConnectError, exc.TimeoutError, exc.SessionLost):
            await asyncio.sleep(0.25)
    raise AssertionError("the call did not succeed at any server")


async def start_client(servers, session_timeout=1.5):
    client = aiozk.ZKClient(servers, session_timeout=session_timeout)
    await client.start()
    return client


def test_create_read_write_and_errors(ensemble):
    servers, _ = ensemble

    async def scenario():
        client = await start_client(servers)
        assert await client.create("/m", b"top") == "/m"
        await client.create("/m/a", b"one", ephemeral=True)
        path = await client.create("/m/s_", b"", ephemeral=True, sequential=True)
        assert path.startswith("/m/s_") and len(path) == len("/m/s_") + 10
        assert sorted(await client.get_children("/m")) == sorted(["a", path[3:]])
        data, stat = await client.get("/m/a")
        assert data == b"one" and stat.ephemeral_owner == client.session.session_id and stat.version == 0
        await client.set_data("/m/a", b"two")
        assert await client.get_data("/m/a") == b"two" and (await client.get("/m/a"))[1].version == 1
        with pytest.raises(exc.BadVersion):
            await client.send(aiozk.protocol.SetDataRequest(path="/m/a", data=b"x", version=7))
        with pytest.raises(exc.NodeExists):
            await client.create("/m/a", b"")
        with pytest.raises(exc.NoNode):
            await client.get_data("/m/none")
        with pytest.raises(exc.NotEmpty):
            await client.delete("/m")
        with pytest.raises(exc.NoChildrenForEphemerals):
            await client.create("/m/a/b", b"")
        assert await client.get_acl("/m/a")
        await client.delete("/m/a")
        assert not await client.exists("/m/a")
        await client.close()

    run_with_timeout(scenario())


def test_a_multi_is_atomic(ensemble):
    servers, _ = ensemble

    async def scenario():
        client = await start_client(servers)
        await client.create("/t", b"")
        transaction = client.begin_transaction()
        transaction.create("/t/a", b"1")
        transaction.create("/t/a/b", b"2")
        transaction.set_data("/t", b"set")
        assert await transaction.commit()
        assert await client.get_data("/t") == b"set" and await client.get_data("/t/a/b") == b"2"
        transaction = client.begin_transaction()
        transaction.delete("/t/a/b")
        transaction.create("/t/a", b"again")
        transaction.create("/t/c", b"")
        with pytest.raises(exc.TransactionFailed):
            async with transaction:
                pass
        assert await client.exists("/t/a/b") and not await client.exists("/t/c")
        await client.close()

    run_with_timeout(scenario())


def test_watches_fire_once_and_nodes_of_an_expired_session_are_deleted(ensemble):
    servers, send_control = ensemble

    async def scenario():
        watcher, member = await start_client(servers), await start_client(servers)
        await watcher.create("/m", b"")
        await member.create("/m/a", b"one", ephemeral=True)
        fired = asyncio.Event()
        seen = []

        def on_event(path):
            seen.append(path)
            fired.set()

        watcher.session.add_watch_callback(aiozk.WatchEvent.DELETED, "/m/a", on_event)
        assert (
            await watcher.send(aiozk.protocol.ExistsRequest(path="/m/a", watch=True))
        ).stat.ephemeral_owner
        send_control(expire=[f"{member.session.session_id:#x}"])
        await asyncio.wait_for(fired.wait(), 10)
        assert seen == ["/m/a"] and not await watcher.exists("/m/a")
        before = member.session.session_id
        await retry(
            lambda: member.create("/m/a", b"again", ephemeral=True)
        )  # the client finds its session expired and starts another
        assert member.session.session_id != before
        await asyncio.sleep(0.2)
        assert seen == ["/m/a"]
        await watcher.close()
        await member.close()

    run_with_timeout(scenario())


def test_a_session_continues_at_another_server_after_a_dropped_connection(ensemble):
    servers, send_control = ensemble

    async def scenario():
        client = await start_client(servers, session_timeout=SESSION_TIMEOUT_S)
        await client.create("/m", b"")
        await client.create("/m/a", b"", ephemeral=True)
        before = client.session.session_id
        send_control(drop=[0, 1, 2])
        # By itself the client notices a connection closed without a reset only when its session is over.
        client.session.state.transition_to(States.SUSPENDED)
        await retry(lambda: client.create("/m/b", b"", ephemeral=True))
        assert client.session.session_id == before
        assert sorted(await client.get_children("/m")) == ["a", "b"]
        await client.close()
        assert send_control()["members"] == []

    run_with_timeout(scenario())


def test_a_read_only_client_is_served_by_a_cut_server_and_may_not_write(ensemble):
    servers, send_control = ensemble

    async def scenario():
        client = await start_client(servers)
        await client.create("/m", b"kept")
        send_control(cut=[0, 1, 2])
        reader = aiozk.ZKClient(servers, session_timeout=1.5, allow_read_only=True)
        await reader.start()
        assert await reader.get_data("/m") == b"kept"
        with pytest.raises(exc.NotReadOnly):
            await reader.session.conn.send(CREATE, xid=7_000)
        send_control(heal=[0, 1, 2])
        await retry(lambda: client.create("/m/y", b"", ephemeral=True))
        assert send_control()["members"] == ["y"]

    run_with_timeout(scenario())
