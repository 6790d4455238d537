"""Runs quetzalgauge-control with a small core in place of the real one."""

import datetime
import pathlib
import sys

from quetzalgauge import control
from quetzalgauge import ids
from quetzalgauge import messages
from quetzalgauge import settings
from quetzalgauge.gen import ttypes

_POLL_INTERVAL = datetime.timedelta(seconds=1)


class FakeCore:
    """Reads both streams, polls the listed targets, answers everything."""

    def __init__(self, config, incarnation):
        self._incarnation = incarnation
        self._address = str(config.peer_listen)
        self._counts = {}
        self._routes_version = 1
        self._targets = {}
        self._polling = {}
        self._streams = [
            ids.CONFIG_STREAM,
            ids.decision_stream(config.region),
        ]

    def step(self, event, now):
        """Handles an event."""
        name = type(event).__name__
        self._counts[name] = self._counts.get(name, 0) + 1
        handle = getattr(self, f"_on_{name}", None)
        return handle(event, now) if handle else []

    def _on_Tick(self, _, now):  # noqa: N802
        actions = [messages.ReadStream(name, 0) for name in self._streams]
        self._streams = []
        for target, address in self._targets.items():
            if now - self._polling.get(target, -now) >= _POLL_INTERVAL:
                self._polling[target] = now
                actions.append(messages.PollTarget(target, address))
        return actions

    def _on_InstancesListed(self, event, _):  # noqa: N802
        self._targets = {
            row.instance: row.address
            for row in event.instances
            if row.kind is messages.InstanceKind.TARGET
        }
        return []

    def _on_EntryReported(self, event, _):  # noqa: N802
        if event.report.suspect_targets:
            self._routes_version += 1
            return [messages.RoutesChanged()]
        return []

    def _on_DigestReceived(self, event, _):  # noqa: N802
        if event.digest.availability_zone == "fault":
            raise ValueError("fault in the core")
        update = ttypes.Update(event.digest, {}, [])
        return [messages.Reply(event.token, update)]

    def _on_KeyClaimRequested(self, event, _):  # noqa: N802
        if event.key == 0:
            return []
        outcome = ttypes.KeyOutcome(False, 0, {}, b"")
        reply = ttypes.KeyReply(ttypes.KeyDecision.RUN, outcome)
        return [messages.Reply(event.token, reply)]

    def _on_TargetDrainRequested(self, event, _):  # noqa: N802
        known = event.target in self._targets
        return [messages.Reply(event.token, known)]

    def _on_StreamRead(self, event, _):  # noqa: N802
        if any(data == b"poison" for _, data in event.records):
            raise ValueError("fault in the fold")
        return []

    def _on_DrainRequested(self, *_):  # noqa: N802
        return [messages.WriteLog("core", 20, "bye", {"a": 1}), messages.Stop()]

    def route_update(self, report):
        """Returns the routes."""
        return ttypes.RouteUpdate(
            self._routes_version, 1, True, [], [], True, [], [], True
        )

    def ticket_status(self, number):
        """Knows no ticket."""
        return

    @property
    def is_ready(self):
        """Ready after the first list."""
        return "InstancesListed" in self._counts

    def dump(self):
        """Returns the counts of events."""
        return {
            "counts": self._counts,
            "address": self._address,
            "polling": self._polling,
        }


def main():
    """Runs until SIGTERM."""
    config = settings.load(pathlib.Path(sys.argv[1]), settings.ControlSettings)
    control.leave(control.run(config, lambda s, i, _: FakeCore(s, i)))


if __name__ == "__main__":
    main()
