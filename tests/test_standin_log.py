"""Log stand-in: batches, offsets, retention and lost acknowledgements."""

import base64
import datetime
import threading
import time

import pytest
import urllib3

from quetzalgauge import logclient
from quetzalgauge import standin_http
from quetzalgauge import standin_log
from quetzalgauge import standin_settings


@pytest.fixture
def make_log():
    logs = []

    def make(**fields):
        log = standin_log.Log(standin_settings.LogSettings(threads=8, **fields))
        log.server.start()
        logs.append(log)
        return log

    yield make
    for log in logs:
        log.server.stop()


def encode(*texts):
    return [base64.b64encode(text.encode()).decode() for text in texts]


def append(log, *texts):
    url = log.server.url + "/streams/config/records"
    return urllib3.request(
        "POST", url, json={"records": encode(*texts)}, retries=False
    )


def read(log, start, **fields):
    url = log.server.url + "/streams/config/records"
    return urllib3.request("GET", url, fields={"from": str(start), **fields})


def texts(answer):
    return [
        base64.b64decode(record["data"]).decode()
        for record in answer.json()["records"]
    ]


def test_batches_keep_their_order_and_pages_end_at_the_limit(make_log):
    log = make_log()
    assert append(log, "a", "b").json() == {"first_offset": 0, "next_offset": 2}
    assert append(log, "c").json()["first_offset"] == 2
    assert texts(read(log, 1, limit="1")) == ["b"]
    assert texts(read(log, 0)) == ["a", "b", "c"]
    assert texts(read(log, 3)) == []


def test_one_bad_record_keeps_the_whole_batch_out(make_log):
    log = make_log()
    url = log.server.url + "/streams/config/records"
    batch = {"records": [*encode("a"), "no base64"]}
    assert urllib3.request("POST", url, json=batch).status == 400
    assert read(log, 0).json()["next_offset"] == 0


def test_expired_offset_names_the_earliest(make_log):
    log = make_log(kept_records=2)
    append(log, "a", "b", "c")
    answer = read(log, 0)
    assert (answer.status, answer.json()) == (410, {"earliest": 1})
    assert texts(read(log, 1)) == ["b", "c"]


def test_reader_waits_for_the_first_record(make_log):
    log = make_log()
    timer = threading.Timer(0.1, append, (log, "late"))
    start = time.monotonic()
    timer.start()
    assert texts(read(log, 0, wait_s="5")) == ["late"]
    assert time.monotonic() - start < 3
    timer.join()


def test_append_rate_is_limited(make_log):
    log = make_log(appends_per_second=5.0)
    statuses = {append(log, "a").status for _ in range(5)}
    assert statuses == {200, 429}


def test_lost_acknowledgement_leaves_one_record(make_log):
    log = make_log()
    log.server.set_faults(standin_http.Faults(lost_acknowledgements=1))
    with pytest.raises(urllib3.exceptions.ProtocolError):
        append(log, "a")
    assert texts(read(log, 0)) == ["a"]


def test_a_long_page_is_compressed_for_a_client_that_accepts_it(make_log):
    """Guards against the bytes of 33 renewals a second."""
    log = make_log()
    append(log, *["renewal"] * 50)
    client = logclient.LogClient(log.server.url)
    wait = datetime.timedelta()
    assert len(client.read("config", 0, 500, wait).records) == 50
    url = log.server.url + "/streams/config/records?from=0"
    plain = urllib3.request("GET", url)
    headers = {"Accept-Encoding": "gzip"}
    packed = urllib3.request("GET", url, headers=headers)
    assert plain.json() == packed.json()
    sizes = [int(one.headers["Content-Length"]) for one in (plain, packed)]
    assert sizes[1] < sizes[0] / 4
