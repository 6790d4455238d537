"""Records survive encoding, and foreign bytes give a documented error."""

import contextlib

import hypothesis
from hypothesis import strategies
import hypothesis_settings
import pytest

from quetzalgauge import exceptions
from quetzalgauge import ids
from quetzalgauge import records

_SLOT = ids.SlotId("palomar-report", "uy-south-a", 0)
_BODIES = [
    records.Ticket(17, '{"ticket": 17}'),
    records.Register("uy-south-a", "127.0.0.1:7100"),
    records.TargetRegister("lm-1", "8f3a", "uy-south-a", 24 * 10**9, True),
    records.TargetGone("lm-1", "8f3a"),
    records.LeaseClaim("lm-1", ids.NO_OFFSET),
    records.Renew(),
    records.Resign(("lm-1", "lm-2")),
    records.Close("lm-1", 7, records.CloseProof.SETTLED),
    records.Reserve("lm-1", 7, _SLOT, "v2", 14 * 10**9),
    records.Release("lm-1", 7, _SLOT),
    records.KeyClaim((1, -(2**60)), "entry-1"),
    records.KeyRelease((1,)),
    records.InstanceGone("node-1", 3),
    records.Snapshot(40, b"\x00\xff"),
]


@pytest.mark.parametrize("body", _BODIES, ids=lambda body: type(body).__name__)
def test_decode_returns_what_was_encoded(body):
    """Guards against a field that is lost or changes its type on the wire."""
    envelope = records.Envelope(ids.WriterId("node-1", 3), 12, body)
    assert records.decode(records.encode(envelope)) == envelope


@hypothesis.given(strategies.binary(max_size=200))
@hypothesis_settings.make(max_examples=300)
def test_foreign_bytes_give_a_decode_error(data):
    """Guards against a follower that stops at a damaged record."""
    with contextlib.suppress(exceptions.DecodeError):
        records.decode(data)


@hypothesis.given(strategies.data())
@hypothesis_settings.make(max_examples=300)
def test_damaged_records_give_a_decode_error(data):
    """Guards against a flipped byte that raises anything but DecodeError."""
    body = data.draw(strategies.sampled_from(_BODIES))
    whole = records.encode(
        records.Envelope(ids.WriterId("node-1", 3), 12, body)
    )
    place = data.draw(strategies.integers(0, len(whole) - 1))
    value = data.draw(strategies.integers(0, 255))
    damaged = whole[:place] + bytes([value]) + whole[place + 1 :]
    with contextlib.suppress(exceptions.DecodeError):
        records.decode(damaged)
