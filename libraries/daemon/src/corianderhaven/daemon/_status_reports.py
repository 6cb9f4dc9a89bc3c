"""Status reports and gauges of a daemon, for operators."""

import resource

from prometheus_client import Gauge

from corianderhaven.placement import assess_replica

REVISION = Gauge("corianderhaven_config_revision", "Configuration revision in force.")
IN_FLIGHT = Gauge("corianderhaven_requests_in_flight", "Requests in flight.")
LIVE_PEERS = Gauge("corianderhaven_live_peers", "Peers that are not dead.")
PEER_MESSAGES = Gauge("corianderhaven_peer_messages", "Messages exchanged with peers.")
PEER_BYTES = Gauge("corianderhaven_peer_bytes", "Bytes exchanged with peers.", ["direction"])
STORE_CALLS = Gauge("corianderhaven_store_calls", "Calls to the key-value service.", ["kind"])
ORDERS = Gauge("corianderhaven_orders", "Placement orders by result.", ["result"])


class StatusReports:
    """Builds the status reports of a daemon.

    Parameters
    ----------
    daemon : Daemon
    """

    def __init__(self, daemon):
        self.daemon = daemon

    def status(self):
        """Return the state of the daemon and of its known peers."""
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
            "peers": [self._describe_peer(record) for record in daemon.peers.known()],
            "zones": [self._describe_zone(name) for name in sorted(daemon.adoption.records)],
            "leases": self._describe_leases(),
            "control": self.control(),
            "measures": self.measures(),
        }

    def control(self):
        """Return counters of the control traffic."""
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
        """Return group downtime and stranded accelerators, by zone placed by this daemon."""
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
        """Return intended replicas of the zones placed here, and other whole ones observed."""
        daemon = self.daemon
        whole = {replica.replica_id: replica for replica in daemon.view.whole_replicas()}
        reports = []
        for zone, placer in daemon.placement.placers.items():
            intent = placer.intents.intent
            for replica in intent.replicas if intent else ():
                state = assess_replica(replica, daemon.facts, daemon.directory)
                reports.append(self._describe_intended(zone, replica, state))
        intended_ids = {entry["replica"] for entry in reports}
        reports += [
            self._describe_observed(r) for name, r in whole.items() if name not in intended_ids
        ]
        return reports

    def vms(self):
        """Return the endpoint VMs of the served zones with their latest facts."""
        daemon = self.daemon
        return [
            self._describe_vm(vm)
            for vm in daemon.directory.endpoints(daemon.adoption.served_zones())
        ]

    def refresh_metrics(self):
        """Update the gauges before they are scraped."""
        daemon = self.daemon
        REVISION.set(daemon.holder.revision)
        IN_FLIGHT.set(daemon.in_flight.count)
        LIVE_PEERS.set(len(daemon.peers.live()))
        PEER_MESSAGES.set(daemon.transport.messages)
        PEER_BYTES.labels("sent").set(daemon.transport.bytes_sent)
        PEER_BYTES.labels("received").set(daemon.transport.bytes_received)
        for kind, count in daemon.store.calls.items():
            STORE_CALLS.labels(kind).set(count)
        placers = daemon.placement.placers.values()
        ORDERS.labels("sent").set(sum(p.orders.sent for p in placers))
        ORDERS.labels("refused").set(sum(p.orders.refused for p in placers))

    def _describe_peer(self, record):
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

    def _describe_zone(self, name):
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

    def _describe_leases(self):
        return {
            zone: {"state": placer.lease.current_state().value, "token": placer.lease.token}
            for zone, placer in self.daemon.placement.placers.items()
        }

    def _describe_intended(self, zone, replica, state):
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

    def _describe_observed(self, replica):
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

    def _describe_vm(self, vm):
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
