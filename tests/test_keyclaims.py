"""The compact table of key claims."""

from quetzalgauge import ids
from quetzalgauge import keyclaims


def test_sources_of_ended_processes_are_dropped(monkeypatch):
    """Guards against a table that grows with every restart of an entry."""
    monkeypatch.setattr(keyclaims, "_LEAST_SOURCES", 4)
    claims = keyclaims.KeyClaims()
    for number in range(100):
        writer = ids.WriterId("node-1", number)
        claims.add([number], keyclaims.Claim(number, writer, f"e-{number}"))
        claims.shrink(5)
    assert len(claims._sources) <= 11
    for key, claim in claims.items():
        assert claim.offset == key
        assert claim.entry == f"e-{key}"
    restored = keyclaims.decode(claims.encode())
    assert list(restored.encode()) == list(claims.encode())


def test_released_keys_leave_no_trace(monkeypatch):
    """Guards against a table that grows with every released key."""
    monkeypatch.setattr(keyclaims, "_LEAST_ORDER", 8)
    claims = keyclaims.KeyClaims()
    writer = ids.WriterId("node-1", 1)
    claims.add([7], keyclaims.Claim(0, writer, "e"))
    for offset in range(1, 100):
        claims.add([8], keyclaims.Claim(offset, writer, "e"))
        claims.remove([8])
    assert len(claims._order_keys) <= 8
    claims.add([8], keyclaims.Claim(100, writer, "e"))
    assert [key for key, _ in claims.items()] == [7, 8]
    claims.shrink(1)
    assert [key for key, _ in claims.items()] == [8]


def test_an_offset_keeps_its_value_at_any_size():
    """Guards against an offset that runs into the index of its source."""
    claims = keyclaims.KeyClaims()
    claim = keyclaims.Claim(2**62, ids.WriterId("node-1", 1), "entry-1")
    claims.add([-(2**63)], claim)
    assert claims.get(-(2**63)) == claim
