"""Tests of proofs about parts of prompts in the store."""

import asyncio
from types import SimpleNamespace

from corianderhaven.common import DecisionLog, ManualClock
from corianderhaven.fleet import ProvenParts, StoreItem, StoreUnavailableError

WAIT_S = 2.0


class Store:
    """Store of one daemon that sees each write at once."""

    def __init__(self):
        self.items = {}
        self.down = False

    async def read(self, key):
        if self.down:
            raise StoreUnavailableError("down")
        return self.items.get(key)

    async def put_if(self, key, value, revision):
        known = self.items.get(key)
        if (known.revision if known else 0) != revision:
            return None
        self.items[key] = StoreItem(key, value, revision + 1)
        return revision + 1


def proven_parts(store):
    clock = ManualClock()
    watcher = SimpleNamespace(own_items=store.items, store_reachable=True)
    return ProvenParts(store, watcher, "parts/", clock, DecisionLog(clock))


async def wait_for(condition):
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(0.01)


def test_proof_is_written_again_after_a_restore_without_it():
    async def scenario():
        store = Store()
        parts = proven_parts(store)
        parts.list_proven = lambda: ["bad"]
        parts.start()
        parts.note("bad", True)
        await wait_for(lambda: len(store.items) == 1)
        store.items.clear()
        await wait_for(lambda: len(store.items) == 1)
        parts.close()

    asyncio.run(scenario())


def test_cleared_part_is_not_taken_from_the_store():
    async def scenario():
        store = Store()
        first, second, taken = proven_parts(store), proven_parts(store), []
        first.start()
        first.note("bad", True)
        await wait_for(lambda: len(store.items) == 1)
        first.note("bad", False)
        await wait_for(lambda: next(iter(store.items.values())).revision == 2)
        second.mark_proven = lambda part, group: taken.append(part)
        second.start()
        await asyncio.sleep(0.3)
        first.close()
        second.close()
        return taken

    assert asyncio.run(scenario()) == []


def test_proof_is_kept_until_the_store_is_back():
    async def scenario():
        store = Store()
        parts = proven_parts(store)
        store.down = True
        parts.start()
        parts.note("bad", True)
        await wait_for(lambda: parts.decisions.find("bad"))
        store.down = False
        parts.clock.current_ms += 10_000.0
        await wait_for(lambda: len(store.items) == 1)
        parts.close()

    asyncio.run(scenario())
