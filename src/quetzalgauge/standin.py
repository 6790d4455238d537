"""Command line of the stand-ins and of the load driver."""

from collections.abc import Callable
import pathlib
import signal
import sys
import threading
import time
from typing import Annotated
from typing import NoReturn
from typing import Protocol

import cyclopts
import urllib3

from quetzalgauge import exceptions
from quetzalgauge import loaddriver
from quetzalgauge import logs
from quetzalgauge import settings
from quetzalgauge import standin_engine
from quetzalgauge import standin_http
from quetzalgauge import standin_instances
from quetzalgauge import standin_log
from quetzalgauge import standin_relay
from quetzalgauge import standin_service
from quetzalgauge import standin_settings
from quetzalgauge import standin_store

_DONE = 0
_FAILED = 1
_WRONG_USAGE = 2
_REGISTER_ATTEMPTS = 20
_REGISTER_PAUSE_SECONDS = 0.25
_REGISTER_TIMEOUT_SECONDS = 2

app = cyclopts.App(
    name="quetzalgauge-standin",
    help=(
        "Stand-ins for the platform, for tests and demos.\n\n"
        "Exit status: 0 done, 1 failed, 2 wrong usage or settings."
    ),
    version_flags=[],
    result_action="return_value",
)
_SettingsFile = Annotated[
    pathlib.Path, cyclopts.Parameter(name="--settings", help="Settings file.")
]


class _Standin(Protocol):
    @property
    def server(self) -> standin_http.Server: ...


class _Target(_Standin, Protocol):
    def listed(self, address: str) -> standin_settings.ListedInstance: ...


@app.command
def engine(settings_file: _SettingsFile) -> int:
    """A model engine."""
    config = settings.load(settings_file, standin_settings.EngineSettings)
    part = standin_engine.Engine(config)
    return _serve_target(part, config)


@app.command
def service(settings_file: _SettingsFile) -> int:
    """A plain service that counts bookings."""
    config = settings.load(settings_file, standin_settings.ServiceSettings)
    part = standin_service.Service(config)
    return _serve_target(part, config)


@app.command
def store(settings_file: _SettingsFile) -> int:
    """The weight store."""
    config = settings.load(settings_file, standin_settings.StoreSettings)
    return _serve(standin_store.Store(config))


@app.command
def log(settings_file: _SettingsFile) -> int:
    """The log service."""
    config = settings.load(settings_file, standin_settings.LogSettings)
    return _serve(standin_log.Log(config))


@app.command
def instances(settings_file: _SettingsFile) -> int:
    """The instance list."""

    def load() -> standin_settings.InstanceListSettings:
        return settings.load(
            settings_file, standin_settings.InstanceListSettings
        )

    return _serve(standin_instances.InstanceList(load(), load))


@app.command
def relay(settings_file: _SettingsFile) -> int:
    """A TCP relay that can cut or freeze connections."""
    config = settings.load(settings_file, standin_settings.RelaySettings)
    return _serve(standin_relay.Relay(config))


app.command(loaddriver.load)


def _serve_target(
    part: _Target, config: standin_settings.TargetSettings
) -> int:
    return _serve(part, lambda: _register(config, part))


def _serve(part: _Standin, announce: Callable[[], None] | None = None) -> int:
    stop = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.set())
    part.server.start()
    if announce is not None:
        announce()
    print(f"ready {part.server.address}", flush=True)
    stop.wait()
    part.server.stop()
    return _DONE


def _register(config: standin_settings.TargetSettings, part: _Target) -> None:
    """Adds a target to the instance list, as the platform would do."""
    if not config.instance_list_url:
        return
    address = config.advertised or part.server.address
    entry = part.listed(str(address))
    for _ in range(_REGISTER_ATTEMPTS):
        try:
            answer = urllib3.request(
                "POST",
                f"{config.instance_list_url}/standin/register",
                body=entry.model_dump_json(),
                retries=False,
                timeout=_REGISTER_TIMEOUT_SECONDS,
            )
            if answer.status == 200:
                return
        except urllib3.exceptions.HTTPError:
            pass
        time.sleep(_REGISTER_PAUSE_SECONDS)
    raise exceptions.PlatformError("the instance list does not answer")


def main() -> NoReturn:
    """Entry point of quetzalgauge-standin."""
    logs.set_up("INFO", "text", "standin")
    try:
        status = app(sys.argv[1:], exit_on_error=False)
    except cyclopts.CycloptsError:
        status = _WRONG_USAGE
    except exceptions.FindingsError as error:
        print(error, file=sys.stderr)
        status = _WRONG_USAGE
    except (exceptions.QuetzalgaugeError, OSError) as error:
        print(f"quetzalgauge-standin: {error}", file=sys.stderr)
        status = _FAILED
    sys.exit(status)


if __name__ == "__main__":
    main()
