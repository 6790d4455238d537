"""Client of the platform's log service."""

import base64
import binascii
from collections.abc import Sequence
import dataclasses
import datetime
import enum

from quetzalgauge import exceptions
from quetzalgauge import httpclient
from quetzalgauge import ids

# An append is answered in milliseconds; a longer wait only delays the repeat.
APPEND_TIMEOUT = datetime.timedelta(seconds=5)
# Above the wait of a long poll, for the way and the server's own delay. The
# core takes 7 s without an answer for a gap; wait and margin stay below that,
# so that one half-open connection is replaced first.
READ_MARGIN = datetime.timedelta(seconds=3)


class AppendOutcome(enum.Enum):
    """What became of an append, as far as the client can tell."""

    ACKNOWLEDGED = "acknowledged"
    REFUSED = "refused"  # Refused before it had an effect.
    UNKNOWN = "unknown"  # It may have taken effect.


@dataclasses.dataclass(frozen=True, slots=True)
class AppendResult:
    """The outcome of an append.

    Attributes:
        outcome: What became of it.
        first_offset: Offset of the first record, NO_OFFSET unless acknowledged.
        reason: Why it was not acknowledged.
    """

    outcome: AppendOutcome
    first_offset: ids.Offset = ids.NO_OFFSET
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadResult:
    """Records of a stream in order; the next offset is the stream's end."""

    earliest: ids.Offset
    next_offset: ids.Offset
    records: tuple[tuple[ids.Offset, bytes], ...]


class LogClient:
    """One connection to the log service, owned by one task."""

    def __init__(self, url: str) -> None:
        self._connection = httpclient.Connection(url)

    def close(self) -> None:
        """Closes the connection."""
        self._connection.close()

    def append(
        self, stream: ids.StreamName, data: Sequence[bytes]
    ) -> AppendResult:
        """Appends a batch once."""
        records = [base64.b64encode(record).decode() for record in data]
        path = f"/streams/{stream}/records"
        try:
            answer = self._connection.call(
                "POST", path, APPEND_TIMEOUT, {"records": records}
            )
        except exceptions.NotSentError as error:
            return AppendResult(AppendOutcome.REFUSED, reason=str(error))
        except exceptions.PlatformError as error:
            return AppendResult(AppendOutcome.UNKNOWN, reason=str(error))
        return _append_result(answer)

    def read(
        self,
        stream: ids.StreamName,
        from_offset: ids.Offset,
        limit: int,
        wait: datetime.timedelta,
    ) -> ReadResult:
        """Reads records; waits up to `wait` for a first one.

        Raises:
            exceptions.LogExpiredError: The offset is no longer kept.
            exceptions.LogUnavailableError: There is no valid answer.
        """
        path = (
            f"/streams/{stream}/records?from={from_offset}&limit={limit}"
            f"&wait_s={wait.total_seconds():g}"
        )
        try:
            answer = self._connection.call("GET", path, wait + READ_MARGIN)
            if answer.status == 410:
                raise exceptions.LogExpiredError(_integer(answer, "earliest"))
            if answer.status != 200:
                raise exceptions.LogUnavailableError(
                    f"log answered {answer.status}"
                )
            return _read_result(answer, from_offset)
        except exceptions.DecodeError as error:
            raise exceptions.LogUnavailableError(str(error)) from error
        except (
            exceptions.LogExpiredError,
            exceptions.LogUnavailableError,
        ):
            raise
        except exceptions.PlatformError as error:
            raise exceptions.LogUnavailableError(str(error)) from error


def _append_result(answer: httpclient.Answer) -> AppendResult:
    if answer.status == 200:
        try:
            first = ids.Offset(_integer(answer, "first_offset"))
        except exceptions.DecodeError as error:
            return AppendResult(AppendOutcome.UNKNOWN, reason=str(error))
        return AppendResult(AppendOutcome.ACKNOWLEDGED, first)
    reason = f"log answered {answer.status}"
    # A 5xx status may come from a server that failed after the append.
    if 400 <= answer.status < 500 and answer.status != 408:
        return AppendResult(AppendOutcome.REFUSED, reason=reason)
    return AppendResult(AppendOutcome.UNKNOWN, reason=reason)


def _integer(answer: httpclient.Answer, key: str) -> int:
    value = answer.json()
    number = value.get(key) if isinstance(value, dict) else None
    if type(number) is not int:
        raise exceptions.DecodeError(f"log answer without {key}")
    return number


def _read_result(
    answer: httpclient.Answer, from_offset: ids.Offset
) -> ReadResult:
    earliest = ids.Offset(_integer(answer, "earliest"))
    next_offset = ids.Offset(_integer(answer, "next_offset"))
    rows = answer.json().get("records")
    if not isinstance(rows, list):
        raise exceptions.DecodeError("log answer without records")
    records = tuple(_record(row) for row in rows)
    wanted = from_offset
    for offset, _ in records:
        # A gap would make this instance's fold differ from the others'.
        if offset != wanted:
            raise exceptions.DecodeError(
                f"log answer has offset {offset} in place of {wanted}"
            )
        wanted = ids.Offset(wanted + 1)
    return ReadResult(earliest, next_offset, records)


def _record(row: object) -> tuple[ids.Offset, bytes]:
    try:
        offset, data = row["offset"], row["data"]  # type: ignore[index]
        if type(offset) is not int:
            raise exceptions.DecodeError("record without offset")
        return ids.Offset(offset), base64.b64decode(data, validate=True)
    except (KeyError, TypeError, binascii.Error, ValueError) as error:
        raise exceptions.DecodeError("log answer with a bad record") from error
