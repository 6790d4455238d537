"""The fold of the decision stream."""

import pytest

from quetzalgauge import exceptions
from quetzalgauge import ids
from quetzalgauge import ledger as ledger_module
from quetzalgauge import records

_ZONE = ids.AvailabilityZone("uy-south-a")
_SLOT = ids.SlotId("palomar-report", _ZONE, 0)


def _fold(*bodies):
    ledger = ledger_module.make_ledger()
    writer = ids.WriterId("node-1", 1)
    outcomes = [
        ledger_module.apply(
            ledger, offset, records.Envelope(writer, offset, body)
        )
        for offset, body in enumerate(bodies)
    ]
    return ledger, outcomes


def test_snapshot_restores_the_same_state():
    """Guards against a field that a snapshot leaves out."""
    ledger, outcomes = _fold(
        records.Register(_ZONE, "127.0.0.1:7100"),
        records.LeaseClaim("lm-1", ids.NO_OFFSET),
        records.TargetRegister("lm-1", "8f3a", _ZONE, 100, True),
        records.Reserve("lm-1", 1, _SLOT, "v2", 60),
        records.KeyClaim((1, -(2**60)), "entry-1"),
        records.Renew(),
    )
    assert [outcome.reason for outcome in outcomes] == [""] * 6
    assert ledger.latest_renewal("lm-1") == 5
    restored = ledger_module.restore(ledger_module.snapshot(ledger))
    assert vars(restored) == vars(ledger)


def test_foreign_bytes_are_no_snapshot():
    """Guards against a follower that stops at a damaged snapshot."""
    with pytest.raises(exceptions.DecodeError):
        ledger_module.restore(b"foreign")
