"""Tests requests that go by limits which a new version has lowered."""

import time

import faulty_site
import pytest

from quetzalgauge.standins import faulty_target

pytestmark = pytest.mark.process

LARGE = {"max_body_bytes": 1_000_000, "max_header_bytes": 16_384}
SMALL = {"max_body_bytes": 65_536, "max_header_bytes": 2048}
# In the settings of a local cluster.
APPLY_SECONDS = 2.0

REQUESTS = {
    "body": ({"data": b"x" * 200_000}, 413),
    "header": ({"X_Filler": "x" * 8000}, 431),
}


@pytest.mark.parametrize(
    ("options", "refusal"), REQUESTS.values(), ids=REQUESTS
)
def test_lowered_limits_refuse_no_request_of_callers_that_go_by_older_ones(
    tmp_path, options, refusal
):
    """Guards against 413 and 431 for requests that a version has allowed."""
    with (
        faulty_site.run_site({"": "limited"}, **LARGE) as site,
        faulty_site.run_instance(site, tmp_path) as instance,
    ):
        target = faulty_target.FaultyTarget("limited-a", "limited", "zone-a")
        faulty_site.add_targets(site, instance, [target])

        def ask():
            status, _, _ = faulty_site.fetch(
                instance, "/ask/1", faulty_site.make_request_id(), **options
            )
            return status

        before = ask()
        configuration = faulty_site.make_configuration({"": "limited"})
        configuration["limits"] |= SMALL
        site.write_configuration({**configuration, "version": 3})
        faulty_site.wait_for(
            lambda: instance.dump()["gateway"]["configuration"] == 3
        )
        beside = ask()
        time.sleep(APPLY_SECONDS + 1.2)
        after = ask()
        target.close()
    assert (before, beside, after) == (200, 200, refusal)
