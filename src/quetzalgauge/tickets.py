"""Change tickets: checking a text and decoding the canonical form."""

from collections.abc import Callable
from collections.abc import Iterator
import json
from typing import Annotated
from typing import Any
from typing import TypeAlias

import pydantic

from quetzalgauge import exceptions
from quetzalgauge import findings
from quetzalgauge import ids
from quetzalgauge import jsonc
from quetzalgauge import records

MAX_PRIORITY = 9
DEFAULT_PRIORITY = 5
# Slots are enumerated, so their number per model and zone is bounded.
MAX_REPLICAS = 1_000
# One TiB, above the memory of any accelerator group of one target.
MAX_MEMORY_MIB = 1024 * 1024
MAX_TICKET_NUMBER = 2**63 - 1

_NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$"
_CHECKPOINT_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._/-]{0,255}$"
_PATH_PATTERN = r"^/[!-~]{0,255}$"

# What a value must look like, by the kind of fault that pydantic reports.
_EXPECTED_TYPES = {
    "int_type": "a whole number",
    "string_type": "a string",
    "list_type": "a list",
    "dict_type": "an object",
    "model_type": "an object",
    "model_attributes_type": "an object",
}
_EXPECTED_PATTERNS = {
    _NAME_PATTERN: "a name: 1 to 128 of A-Z a-z 0-9 . _ -, first no mark",
    _CHECKPOINT_PATTERN: (
        "a checkpoint: 1 to 256 of A-Z a-z 0-9 . _ / -, first no mark"
    ),
    _PATH_PATTERN: "a path that begins with / and has no spaces",
}

_Name = Annotated[str, pydantic.Field(pattern=_NAME_PATTERN)]
_MemoryMib = Annotated[int, pydantic.Field(ge=0, le=MAX_MEMORY_MIB)]
_Replicas = Annotated[int, pydantic.Field(ge=0, le=MAX_REPLICAS)]


class _Part(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True, strict=True)


class VersionPart(_Part):
    """A version of a model."""

    checkpoint: Annotated[str, pydantic.Field(pattern=_CHECKPOINT_PATTERN)]
    memory_mib: Annotated[int, pydantic.Field(ge=1, le=MAX_MEMORY_MIB)]
    adapter_memory_mib: _MemoryMib = 0


class ReplicasPart(_Part):
    """How many replicas a model has in an availability zone."""

    max_replicas: _Replicas
    min_replicas: _Replicas = 0


class ModelPart(_Part):
    """The complete new state of a model."""

    versions: Annotated[dict[_Name, VersionPart], pydantic.Field(min_length=1)]
    default_version: str
    priority: Annotated[int, pydantic.Field(ge=0, le=MAX_PRIORITY)] = (
        DEFAULT_PRIORITY
    )
    availability_zones: dict[_Name, ReplicasPart]


class AdapterPart(_Part):
    """The complete new state of an adapter."""

    model: _Name
    memory_mib: Annotated[int, pydantic.Field(ge=1, le=MAX_MEMORY_MIB)]


class ServicePart(_Part):
    """The complete new state of a plain service."""

    repeatable_paths: list[
        Annotated[str, pydantic.Field(pattern=_PATH_PATTERN)]
    ] = []


class Content(_Part):
    """A checked ticket. None in place of an object removes it."""

    ticket: Annotated[int, pydantic.Field(ge=1, le=MAX_TICKET_NUMBER)]
    models: dict[_Name, ModelPart | None] = {}
    adapters: dict[_Name, AdapterPart | None] = {}
    services: dict[_Name, ServicePart | None] = {}


def parse(text: str, source: str) -> records.Ticket:
    """Checks a ticket text and returns it in canonical form.

    Args:
        text: JSON with comments.
        source: File name or another name of the text, used in findings.

    Raises:
        exceptions.FindingsError: The text has faults. Carries all of them,
            each with its line, its path and what is expected.
    """
    content = _parse_plain(text)
    if content is None:
        content = _parse_with_places(text, source)
    return encode(content)


def encode(content: Content) -> records.Ticket:
    """Returns the canonical form: sorted keys, defaults filled in."""
    value = content.model_dump()
    text = json.dumps(value, sort_keys=True, separators=(",", ":"))
    return records.Ticket(ids.TicketNumber(content.ticket), text)


def decode(ticket: records.Ticket) -> Content:
    """Decodes a ticket from the log.

    Raises:
        exceptions.DecodeError: The ticket is invalid. Only a faulty writer
            appends one.
    """
    content = _parse_plain(ticket.text)
    if content is None:
        raise exceptions.DecodeError("the ticket's text is invalid")
    if content.ticket != ticket.number:
        raise exceptions.DecodeError("the ticket's text has another number")
    return content


def _parse_plain(text: str) -> Content | None:
    """Checks a text without comments; None if it has comments or a fault.

    The parser with places takes 11 MB, so a control process avoids it for the
    canonical texts of the log and of `quetzalgauge-ctl`.
    """
    if len(text) > jsonc.MAX_TEXT_CHARACTERS:
        return None
    try:
        value = json.loads(text, object_pairs_hook=_reject_duplicates)
        content = Content.model_validate(value)
    except (ValueError, RecursionError):
        return None
    if any(_check_relations(value)):
        return None
    return content


def _reject_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    result = dict(pairs)
    if len(result) < len(pairs):
        raise ValueError("duplicate key")
    return result


def _parse_with_places(text: str, source: str) -> Content:
    document = jsonc.parse(text, source)
    found = list(document.duplicates)
    content = None
    try:
        content = Content.model_validate(document.value)
    except pydantic.ValidationError as error:
        found += [_schema_finding(document, row) for row in error.errors()]
    found += [
        findings.Finding(source, document.line(path), path, message)
        for path, message in _check_relations(document.value)
    ]
    findings.raise_if_any(found)
    assert content is not None
    return content


def _schema_finding(document: jsonc.Document, row: Any) -> findings.Finding:
    path = tuple(row["loc"])
    if path and path[-1] == "[key]":
        path = path[:-1]
    line = document.line(path)
    return findings.Finding(document.source, line, path, _describe(row))


def _describe(row: Any) -> str:
    kind = row["type"]
    if kind == "missing":
        return "missing key"
    if kind == "extra_forbidden":
        return "unknown key"
    if kind in _EXPECTED_TYPES:
        return f"expected {_EXPECTED_TYPES[kind]}"
    context = row.get("ctx", {})
    if kind == "string_pattern_mismatch":
        return f"expected {_EXPECTED_PATTERNS[context['pattern']]}"
    if kind == "greater_than_equal":
        return f"expected at least {context['ge']}"
    if kind == "less_than_equal":
        return f"expected at most {context['le']}"
    if kind == "too_short":
        return f"expected at least {context['min_length']} entry"
    return row["msg"]


# ---- Checks between values -------------------------------------------------

# They look at the raw value, so that their findings come together with those
# of the schema. A value of a wrong type is left to the schema.
_Fault: TypeAlias = tuple[findings.Path, str]


def _check_relations(value: Any) -> Iterator[_Fault]:
    if not isinstance(value, dict):
        return
    for check in _CHECKS:
        yield from check(value)


def _check_not_empty(value: dict[str, Any]) -> Iterator[_Fault]:
    if not any(value.get(kind) for kind in ("models", "adapters", "services")):
        yield (), "expected at least one model, adapter or service"


def _check_default_versions(value: dict[str, Any]) -> Iterator[_Fault]:
    for name, model in _objects(value, "models"):
        default = model.get("default_version")
        versions = model.get("versions")
        if not isinstance(default, str) or not isinstance(versions, dict):
            continue
        if default not in versions:
            path = ("models", name, "default_version")
            yield path, "expected the name of one of the versions"


def _check_replicas(value: dict[str, Any]) -> Iterator[_Fault]:
    for name, model in _objects(value, "models"):
        for zone, replicas in _objects(model, "availability_zones"):
            least = replicas.get("min_replicas", 0)
            most = replicas.get("max_replicas")
            if type(least) is not int or type(most) is not int:
                continue
            if least > most:
                path = (
                    "models",
                    name,
                    "availability_zones",
                    zone,
                    "min_replicas",
                )
                yield path, f"expected at most max_replicas, {most}"


def _check_names(value: dict[str, Any]) -> Iterator[_Fault]:
    # Both kinds of name stand in the `model` field of a request.
    models = dict(_objects(value, "models"))
    for name, _ in _objects(value, "adapters"):
        if name in models:
            yield ("adapters", name), "expected a name that no model has"


def _objects(
    value: dict[str, Any], key: str
) -> Iterator[tuple[str, dict[str, Any]]]:
    members = value.get(key)
    if not isinstance(members, dict):
        return
    for name, member in members.items():
        if isinstance(member, dict):
            yield name, member


_CHECKS: tuple[Callable[[dict[str, Any]], Iterator[_Fault]], ...] = (
    _check_not_empty,
    _check_default_versions,
    _check_replicas,
    _check_names,
)
