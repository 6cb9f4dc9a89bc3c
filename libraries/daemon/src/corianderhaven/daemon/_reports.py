"""What operators are shown of a daemon."""

import resource

from prometheus_client import Gauge

from corianderhaven.placement import assess_replica

REVISION = Gauge("corianderhaven_config_revision", "Configuration revision in force.")
IN_FLIGHT = Gauge("corianderhaven_requests_in_flight", "Requests in flight.")
PEERS_LIVE = Gauge("corianderhaven_live_peers", "Peers that are not dead.")
PEER_MESSAGES = Gauge("corianderhaven_peer_messages", "Messages exchanged with peers.")
PEER_BYTES = Gauge("corianderhaven_peer_bytes", "Bytes exchanged with peers.", ["direction"])
STORE_CALLS = Gauge("corianderhaven_store_calls", "Calls to the key-value service.", ["kind"])
ORDERS = Gauge("corianderhaven_orders", "Placement orders by result.", ["result"])


class Reports:
    """Builds status reports.

    Parameters
    ----------
    daemon : Daemon
    """

    def __init__(self, daemon):
        self.daemon = daemon

    def status(self):
        """Return the state of the daemon and of the peers it knows."""
        daemon = self.daemon
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return {
            "daemon": daemon.peer_info.name,
            "instance": daemon.peer_info.instance,
            "zone": daemon.peer_info.zone,
            "served_zones": sorted(daemon.adoption.served_zones()),
            "ready": not daemon.unready_reason(),
            "reason": daemon.unready_reason(),
            "revision": daemon.holder.revision,
            "in_flight": daemon.in_flight.count,
            "uptime_ms": int(daemon.clock.now_ms() - daemon.started_ms),
            "cpu_ms": int((usage.ru_utime + usage.ru_stime) * 1000),
            "resident_kb": usage.ru_maxrss,
            "platform_reachable": daemon.directory.platform_reachable,
            "peers": [self._peer(record) for record in daemon.peers.known()],
            "zones": [self._zone(name) for name in sorted(daemon.adoption.records)],
            "leases": self._leases(),
            "control": self.control(),
            "measures": self.measures(),
        }

    def control(self):
        """Return counts of control messages."""
        transport = self.daemon.transport
        probes = self.daemon.prober.probes.values()
        return {
            "peer_messages": transport.messages,
            "peer_bytes_sent": transport.bytes_sent,
            "peer_bytes_received": transport.bytes_received,
            "probes": sum(probe.probes for probe in probes),
            "probe_bytes_received": sum(probe.client.bytes_received for probe in probes),
            "probed_endpoints": len(probes),
            "store_calls": dict(self.daemon.store.calls),
            "claim_calls": self.daemon.committer.calls,
        }

    def measures(self):
        """Return group downtime and stranded accelerators by zone placed here."""
        return {
            zone: {
                "group_downtime_ms": placer.metrics.group_downtime_ms,
                "stranded_vm_ms": {
                    f"{name}/{reason}": value
                    for (name, reason), value in placer.metrics.stranded_vm_ms.items()
                },
            }
            for zone, placer in self.daemon.placement.placers.items()
        }

    def replicas(self):
        """Return intended replicas of the zones placed here, and whole ones seen here."""
        daemon = self.daemon
        whole = {replica.replica_id: replica for replica in daemon.view.whole_replicas()}
        described = []
        for zone, placer in daemon.placement.placers.items():
            intent = placer.intents.intent
            for replica in intent.replicas if intent else ():
                state = assess_replica(replica, daemon.facts, daemon.directory)
                described.append(self._intended(zone, replica, state))
        named = {entry["replica"] for entry in described}
        described += [self._seen(r) for name, r in whole.items() if name not in named]
        return described

    def vms(self):
        """Return the endpoint VMs of the served zones with their latest facts."""
        daemon = self.daemon
        return [self._vm(vm) for vm in daemon.directory.endpoints(daemon.adoption.served_zones())]

    def refresh_metrics(self):
        """Set the gauges that are read at scrape time."""
        daemon = self.daemon
        REVISION.set(daemon.holder.revision)
        IN_FLIGHT.set(daemon.in_flight.count)
        PEERS_LIVE.set(len(daemon.peers.live()))
        PEER_MESSAGES.set(daemon.transport.messages)
        PEER_BYTES.labels("sent").set(daemon.transport.bytes_sent)
        PEER_BYTES.labels("received").set(daemon.transport.bytes_received)
        for kind, count in daemon.store.calls.items():
            STORE_CALLS.labels(kind).set(count)
        placers = daemon.placement.placers.values()
        ORDERS.labels("sent").set(sum(p.orders.sent for p in placers))
        ORDERS.labels("refused").set(sum(p.orders.refused for p in placers))

    def _peer(self, record):
        daemon = self.daemon
        return {
            "daemon": record.info.name,
            "instance": record.info.instance,
            "zone": record.info.zone,
            "address": record.info.address,
            "state": daemon.peers.state(record).value,
            "draining": record.info.draining,
            "revision": record.revision,
            "heard_ms_ago": int(daemon.clock.now_ms() - record.heard_ms),
        }

    def _zone(self, name):
        record = self.daemon.adoption.records[name]
        return {
            "zone": name,
            "live": self.daemon.adoption.is_zone_live(name),
            "age_ms": int(self.daemon.clock.now_ms() - record.created_ms),
            "whole_replicas": {
                deployment: summary.whole_replicas
                for deployment, summary in record.summary.deployments.items()
            },
        }

    def _leases(self):
        return {
            zone: {"state": placer.lease.current_state().value, "token": placer.lease.token}
            for zone, placer in self.daemon.placement.placers.items()
        }

    def _intended(self, zone, replica, state):
        return {
            "replica": replica.replica_id,
            "zone": zone,
            "deployment": replica.deployment,
            "generation": replica.generation,
            "version": replica.version,
            "whole": state.whole,
            "drain": replica.drain.value,
            "fabric_domain": replica.fabric_domain,
            "members": {
                member.vm: member_state.value
                for member, member_state in zip(replica.members, state.members, strict=True)
            },
        }

    def _seen(self, replica):
        return {
            "replica": replica.replica_id,
            "zone": replica.zone,
            "deployment": replica.deployment,
            "generation": replica.generation,
            "version": replica.version,
            "whole": True,
            "drain": "",
            "fabric_domain": "",
            "members": {member.vm: "ready" for member in replica.members},
        }

    def _vm(self, vm):
        daemon = self.daemon
        fact = daemon.facts.get(vm.id)
        report = fact.report if fact else None
        age = daemon.facts.age_ms(vm.id)
        if fact is None:
            status = "unknown"
        elif report is None:
            status = "lost"
        else:
            status = report.status.value if daemon.facts.is_fresh(fact) else "silent"
        return {
            "vm": vm.id,
            "zone": vm.zone,
            "kind": vm.kind.value,
            "fabric_domain": vm.fabric_domain,
            "listed": vm.state.value,
            "status": status,
            "leaving": bool(report and report.leaving) or daemon.directory.is_leaving(vm.id),
            "instance": report.instance if report else None,
            "replica": report.assignment.replica_id if report and report.assignment else None,
            "age_ms": None if age is None else int(age),
        }
