"""Tests of the state that a daemon takes over from a peer: slow links, large configurations."""

import asyncio
from types import SimpleNamespace

import msgspec

from corianderhaven.common import MS_PER_S, AsyncHttpServer, Clock, DecisionLog
from corianderhaven.fleet import DIGEST_PATH, Digest, PeerExchange, PeerMessage, PeerTable
from corianderhaven.fleet._peer_state import PeerState, decode_state, encode_state

ROUTES = 1_160
MAX_SHARE = 0.2  # of the configuration's bytes
TRANSFER_MS = 900.0  # several times the timeout of an exchange of digests
MIN_DIGESTS = 3


def large_config():
    routes = [
        {"name": f"r-{n:x}", "host": f"host{n % 7}.example", "path_prefix": f"/p{n * 7919:x}/"}
        for n in range(ROUTES)
    ]
    return msgspec.json.encode({"version": 18, "routes": routes})


def test_state_with_a_large_configuration_takes_few_bytes():
    config = large_config()
    state = PeerState(config, 18, {"e-1": (7, 3, True)})
    encoded = encode_state(state)
    assert len(encoded) <= MAX_SHARE * len(config)
    assert decode_state(encoded) == state


def test_unreadable_state_is_an_error():
    for body in (b"", b"{", b'{"packed_config":"AAAA"}', b'{"packed_config":7}'):
        try:
            decode_state(body)
        except ValueError:
            continue
        raise AssertionError(body)


def test_state_arrives_over_a_slow_link_while_digests_go_on():
    """The only daemon of a zone with the store sent a large configuration to all others at once.

    Each transfer took longer than an exchange of digests may, and began again and again.
    """

    async def run():
        clock, digests, applied = Clock(), [], []
        waiting = []

        async def answer(request, caller):
            if request.target == DIGEST_PATH.encode():
                digests.append(bool(waiting))
                digest = Digest("edge-c-2", server.address, zone="c", config_version=18)
                await caller.send_response(200, [], msgspec.json.encode(PeerMessage(digest)))
                return
            waiting.append(True)
            await asyncio.sleep(TRANSFER_MS / MS_PER_S)
            waiting.pop()
            await caller.send_response(200, [], encode_state(PeerState(large_config(), 18)))

        server = await AsyncHttpServer("127.0.0.1:0", answer, clock).start()
        store = SimpleNamespace(era=SimpleNamespace(listeners=[]))
        table = PeerTable("edge-c-1", clock, "c")
        table.set_listed_daemons([("edge-c-2", server.address, "c")])
        exchange = PeerExchange(
            table, store, None, "daemons/", "127.0.0.1:1", DecisionLog(clock), None
        )
        exchange.apply_state = lambda state, peer: applied.append(state)
        exchange.config_version = lambda: applied[-1].config_version if applied else 15
        task = asyncio.create_task(exchange._exchange(table.peers["edge-c-2"]))
        await asyncio.sleep(3 * TRANSFER_MS / MS_PER_S)
        task.cancel()
        exchange.close()
        server.close()
        return applied, digests

    applied, digests = asyncio.run(run())
    assert [state.config_version for state in applied] == [18]
    assert sum(digests) >= MIN_DIGESTS
