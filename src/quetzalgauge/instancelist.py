"""Client of the platform's instance list."""

import datetime
from typing import Any
import urllib.parse

from quetzalgauge import exceptions
from quetzalgauge import fields
from quetzalgauge import httpclient
from quetzalgauge import ids
from quetzalgauge import messages
from quetzalgauge import wire

TIMEOUT = datetime.timedelta(seconds=3)


class InstanceListClient:
    """One connection to the instance list, owned by one task.

    Args:
        url: Root of the instance list service.
        region: Ask for the entries of one region; empty for all. A server
            that does not know the parameter answers with all regions.
    """

    def __init__(self, url: str, region: str = "") -> None:
        self._connection = httpclient.Connection(url)
        self._path = "/instances"
        if region:
            query = urllib.parse.urlencode({"region": region})
            self._path += f"?{query}"
        self._data = b""
        self._tag = ""
        self._instances: tuple[messages.ListedInstance, ...] = ()

    def close(self) -> None:
        """Closes the connection."""
        self._connection.close()

    def fetch(self) -> tuple[messages.ListedInstance, ...]:
        """Returns the whole list.

        An unchanged list is not parsed again: at the target size it has 1,890
        entries. A server that sends an ETag may answer 304.

        Raises:
            exceptions.PlatformError: There is no answer.
            exceptions.DecodeError: The answer is not a valid list. An entry
                that is not understood makes the whole list invalid, since
                leaving it out would declare its instance dead.
        """
        headers = {"If-None-Match": self._tag} if self._tag else {}
        answer = self._connection.call(
            "GET", self._path, TIMEOUT, headers=headers
        )
        if answer.status == 304 and self._tag:
            return self._instances
        if answer.status != 200:
            raise exceptions.PlatformError(
                f"instance list answered {answer.status}"
            )
        if answer.data != self._data:
            self._instances = parse(answer.json())
            self._data = answer.data
        self._tag = answer.headers.get("ETag", "")
        return self._instances


def parse(value: Any) -> tuple[messages.ListedInstance, ...]:
    """Parses the body of an answer.

    Raises:
        exceptions.DecodeError: The body or an entry is invalid.
    """
    body = fields.mapping(value, "instance list")
    if "instances" not in body:
        raise exceptions.DecodeError("instances is missing")
    return tuple(_instance(row) for row in fields.rows(body, "instances"))


def _instance(value: Any) -> messages.ListedInstance:
    row = fields.mapping(value, "instance")
    address = fields.text(row, "address")
    wire.parse_address(address)
    return messages.ListedInstance(
        instance=fields.text(row, "instance"),
        kind=fields.member(row, "kind", messages.InstanceKind),
        address=address,
        availability_zone=ids.AvailabilityZone(
            fields.text(row, "availability_zone")
        ),
        region=ids.Region(fields.text(row, "region")),
        state=fields.member(row, "state", messages.InstanceState),
        incarnation=fields.text(row, "incarnation", ""),
        service=ids.ServiceName(fields.text(row, "service", "")),
        service_kind=fields.member(
            row, "service_kind", messages.ServiceKind, "models"
        ),
        accelerator_memory_bytes=fields.integer(
            row, "accelerator_memory_bytes", 0
        ),
        accelerators=fields.integer(row, "accelerators", 0),
        checks_fencing=fields.flag(row, "checks_fencing", False),
    )
