"""Tests of the bounds that a daemon derives from its VM."""

import math
import resource
from types import SimpleNamespace

import pytest

from corianderhaven.common import DecisionLog, ManualClock, connection_budgets
from corianderhaven.daemon._resource_bounds import ResourceBounds

MIB = 1 << 20


def started(memory_mb, max_fds):
    clock = ManualClock()
    vm = SimpleNamespace(memory_mb=memory_mb, max_fds=max_fds)
    bounds = ResourceBounds(vm, clock, DecisionLog(clock))
    servers = [SimpleNamespace(max_connections=math.inf) for _ in range(3)]
    bounds.start(*servers)
    return bounds, [server.max_connections for server in servers]


@pytest.fixture(autouse=True)
def budgets():
    kept = connection_budgets.requests.limit_bytes, connection_budgets.answers.limit_bytes
    yield
    connection_budgets.requests.limit_bytes, connection_budgets.answers.limit_bytes = kept


@pytest.mark.parametrize(("memory_mb", "max_fds"), [(112, 256), (112, 2_870), (152, 2_870)])
def test_bounds_of_a_small_vm_leave_room_beside_them(memory_mb, max_fds):
    """Guards against shares that together exceed the VM."""
    bounds, connections = started(memory_mb, max_fds)
    bounds.close()
    callers, peers, readiness = connections
    assert 2 * callers + peers + readiness < max_fds
    budgets = (connection_budgets.requests, connection_budgets.answers)
    assert sum(budget.limit_bytes for budget in budgets) < (memory_mb - 64) * MIB


def test_descriptors_are_at_most_what_the_system_allows():
    system_fds, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    bounds, connections = started(112, 10 * system_fds)
    bounds.close()
    assert sum(connections) < system_fds


def test_refusals_are_logged_until_the_daemon_closes():
    bounds, _ = started(None, None)
    connection_budgets.note_refusal("connections")
    bounds.close()
    connection_budgets.note_refusal("body size")
    causes = [entry["cause"] for entry in bounds.refusal_log.decisions.entries]
    assert causes == ["connections"]
