"""Plain service stand-in: it must show a booking that ran twice."""

import urllib3

from quetzalgauge import loaddriver
from quetzalgauge import standin_service
from quetzalgauge import standin_settings


def test_runs_are_counted_by_booking():
    config = standin_settings.ServiceSettings(
        target="desk-1",
        service="booking-desk",
        availability_zone="zone",
        region="region",
    )
    service = standin_service.Service(config)
    service.server.start()
    url = service.server.url + "/bookings"
    for booking in ("a", "b", "a"):
        answer = urllib3.request(
            "POST",
            url,
            json={"booking": booking},
            headers={"X-Request-Id": "r"},
        )
        assert answer.headers["X-Request-Id"] == "r"
    assert service.counts()["runs"] == {"a": 2, "b": 1}
    status = urllib3.request("GET", service.server.url + "/status").json()
    assert status["models"] == []
    service.server.stop()


def test_load_driver_counts_a_crossed_answer_as_wrong():
    results = [
        loaddriver.Result("a", "whole", first_token_s=0.1, gaps_s=[0.1]),
        loaddriver.Result("b", "wrong", code="other_request_id"),
        loaddriver.Result("c", "refused", code="queue_full"),
    ]
    report = loaddriver.summarise(results)
    assert (report["whole"], report["wrong"], report["refused"]) == (1, 1, 1)
    assert report["codes"] == {
        "refused:queue_full": 1,
        "wrong:other_request_id": 1,
    }
    assert report["first_token_s"]["p95"] == 0.1
