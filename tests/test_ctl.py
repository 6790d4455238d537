"""quetzalgauge-ctl: exit statuses, repeats after lost answers, findings."""

import json

import certificates
import pytest

from quetzalgauge import ctl
from quetzalgauge import operators
from quetzalgauge import settings
from quetzalgauge import standin_http
from quetzalgauge import tickets

LOOPBACK = settings.Address(host="127.0.0.1", port=0)
TICKET = """{
  // A comment.
  "ticket": 17,
  "services": {"clocking-app": {"repeatable_paths": ["/standings"]}}
}"""


class FakeControl:
    """Answers tickets like a control process that keeps them for ever."""

    def __init__(self):
        self.tickets = {}
        self.calls = []
        self.verdict = ""
        self.server = standin_http.Server(LOOPBACK, 4, self.handle, dict)
        self.server.start()

    @property
    def address(self):
        return str(self.server.address)

    def handle(self, request):
        self.calls.append((request.method, request.path))
        reply = standin_http.make_json_response
        if request.path == "/tickets":
            if self.verdict:
                body = make_body(self.verdict, findings=["models.a: busy"])
                return reply(422, body)
            is_new = request.body not in self.tickets.values()
            self.tickets[17] = request.body
            verdict = "accepted" if is_new else "repeated"
            return reply(200, make_body(verdict))
        if request.path == "/tickets/17" and self.tickets:
            return reply(200, make_body("accepted"))
        if request.path.endswith("/drain"):
            is_known = request.path in ("/drain", "/targets/lm-1/drain")
            return reply(202 if is_known else 404, {"error": "no such target"})
        if request.path == "/dump":
            return reply(200, {"leases": {}})
        if request.path in ("/healthz", "/readyz"):
            return reply(200, {"ok": True})
        return reply(404, {"error": "no such ticket"})


def make_body(verdict, findings=()):
    return {
        "ticket": 17,
        "verdict": verdict,
        "offset": 41,
        "findings": list(findings),
    }


@pytest.fixture
def control():
    fake = FakeControl()
    yield fake
    fake.server.stop()


@pytest.fixture
def ticket(tmp_path):
    file = tmp_path / "ticket.json"
    file.write_text(TICKET)
    return str(file)


@pytest.fixture
def run(monkeypatch, capsys):
    def run_ctl(*arguments):
        monkeypatch.setattr("sys.argv", ["quetzalgauge-ctl", *arguments])
        with pytest.raises(SystemExit) as ended:
            ctl.main()
        output = capsys.readouterr()
        return ended.value.code, output.out, output.err

    return run_ctl


def test_ticket_is_accepted_and_its_status_shown(run, control, ticket):
    target = ("--control", control.address)
    accepted = run("submit", ticket, *target)
    assert accepted == (0, "ticket 17: accepted at offset 41\n", "")
    assert run("status", "17", *target)[0] == 0
    assert run("status", "18", *target)[0] == 3
    code, text, _ = run("submit", ticket, *target, "--json")
    assert (code, json.loads(text)["verdict"]) == (0, "repeated")


def test_ticket_is_sent_as_plain_json(run, control, ticket):
    """Guards against comments that make control load the lark parser."""
    assert run("submit", ticket, "--control", control.address)[0] == 0
    sent = control.tickets[17].decode()
    assert sent == tickets.parse(TICKET, "ticket").text
    assert json.loads(sent)["ticket"] == 17


def test_lost_answer_is_followed_by_a_harmless_repeat(run, control, ticket):
    faults = standin_http.Faults(lost_acknowledgements=1)
    control.server.set_faults(faults)
    code, text, _ = run("submit", ticket, "--control", control.address)
    assert (code, "repeated" in text) == (0, True)
    assert control.calls == [("POST", "/tickets")] * 2


def test_outcome_that_stays_unknown_has_its_own_status(run, control, ticket):
    control.server.set_faults(standin_http.Faults(lost_acknowledgements=9))
    arguments = ("--control", control.address, "--wait", "0.1")
    code, _, errors = run("submit", ticket, *arguments)
    assert (code, "unknown outcome" in errors) == (4, True)


def test_second_control_process_is_tried(run, control, ticket):
    addresses = ("--control", "127.0.0.1:9", "--control", control.address)
    assert run("submit", ticket, *addresses)[0] == 0
    unreachable = ("--control", "127.0.0.1:9", "--wait", "0")
    assert run("submit", ticket, *unreachable)[0] == 1


def test_refused_ticket_prints_its_findings(run, control, ticket):
    control.verdict = "over_capacity"
    code, text, _ = run("submit", ticket, "--control", control.address)
    assert (code, "models.a: busy" in text) == (3, True)


def test_invalid_ticket_is_not_sent(run, control, tmp_path):
    file = tmp_path / "bad.json"
    file.write_text('{"ticket": 0,\n "services": {"a b": {}}}')
    code, _, errors = run("submit", str(file), "--control", control.address)
    assert (code, control.calls) == (2, [])
    assert f"{file}:1: ticket: expected at least 1" in errors
    assert f"{file}:2: services.a b: expected a name" in errors


def test_check_reports_every_finding_of_each_kind(run, tmp_path, ticket):
    assert run("check", ticket) == (0, f"{ticket}: valid ticket file\n", "")
    file = tmp_path / "control.json"
    file.write_text('{"log_url": "nowhere",\n"peer_listen": 5}')
    code, text, _ = run("check", str(file), "--json")
    report = json.loads(text)
    assert (code, report["kind"]) == (2, "control")
    assert any(":1: log_url" in line for line in report["findings"])
    assert any(":2: peer_listen" in line for line in report["findings"])
    file.write_text("{}")
    assert run("check", str(file))[0] == 2
    assert run("check", str(tmp_path / "missing.json"))[0] == 2


def test_drain_dump_and_status(run, control):
    target = ("--control", control.address)
    assert run("drain", *target) == (0, "draining: process\n", "")
    assert run("drain", "--target", "lm-1", *target)[0] == 0
    assert run("drain", "--target", "lm-9", *target)[0] == 3
    assert json.loads(run("dump", *target)[1]) == {"leases": {}}
    healthy = run("status", *target)
    assert healthy == (0, "healthy: true\nready: true\n", "")


def test_wrong_usage_has_status_2(run):
    assert run("submit")[0] == 2
    assert run("no-such-command")[0] == 2


def test_help_names_exit_statuses_and_examples(run):
    assert "3 refused" in run("--help")[1]
    assert "For example" in run("submit", "--help")[1]


def test_operator_listener_with_tls(run, tmp_path):
    """Guards against an operator that is shut out, or let in unknown."""
    tls = certificates.make_tls(tmp_path)
    handlers = operators.Handlers(
        is_healthy=lambda: True,
        is_ready=lambda: True,
        metrics=lambda: b"",
        dump=lambda: {"a": 1},
        drain=lambda: None,
    )
    server = operators.OperatorServer(LOOPBACK, tls, handlers)
    server.start()
    target = ("dump", "--json", "--control", server.address)
    authority = ("--authority", str(tls.authority))
    own = ("--certificate", str(tls.certificate), "--key", str(tls.key))
    code, text, _ = run(*target, *authority, *own)
    assert (code, json.loads(text)) == (0, {"a": 1})
    assert run(*target, *authority)[0] in (1, 4)
    server.stop()
