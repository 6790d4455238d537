"""Parser for JSON with comments that keeps the line number of each value.

Comments are `// ...` up to the end of the line and `/* ... */`. Everything
else follows RFC 8259.
"""

import dataclasses
import functools
import json
import math
from typing import Any
from typing import NoReturn

from quetzalgauge import exceptions
from quetzalgauge import findings

# Settings and similar documents are a few levels deep. The limit keeps the
# recursive functions that walk a document well below Python's recursion limit.
MAX_DEPTH = 64
# The largest document of a deployment of the planned size (41,000 adapters) is
# below 6 MB.
MAX_TEXT_CHARACTERS = 16 * 1024 * 1024

_GRAMMAR = r"""
start: value
?value: object | array | string | number | true | false | null
object: "{" [pair ("," pair)*] "}"
pair: STRING ":" value
array: "[" [value ("," value)*] "]"
string: STRING
number: NUMBER
true: "true"
false: "false"
null: "null"
STRING: /"[^"\\\x00-\x1f]*(?:\\.[^"\\\x00-\x1f]*)*"/
NUMBER: /-?(?:0|[1-9][0-9]*)(?:\.[0-9]+)?(?:[eE][+-]?[0-9]+)?/
LINE_COMMENT: /\/\/[^\n]*/
BLOCK_COMMENT: /\/\*[\s\S]*?\*\//
SPACE: /[ \t\r\n]+/
%ignore LINE_COMMENT
%ignore BLOCK_COMMENT
%ignore SPACE
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """A parsed document.

    Attributes:
        source: Name of the document, used in findings.
        value: The value, as `json.loads` would return it.
        lines: The line number of each value by path; for a member of an
            object, the line of its key.
        duplicates: Findings for duplicate keys. `value` has the last value of
            such a key.
    """

    source: str
    value: Any
    lines: dict[findings.Path, int]
    duplicates: tuple[findings.Finding, ...]

    def find_line(self, path: findings.Path) -> int:
        """Returns the line of a path or of its nearest existing ancestor."""
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 0)


def parse(text: str, source: str) -> Document:
    """Parses a document.

    Args:
        text: The document.
        source: Name of the document, used in findings.

    Raises:
        exceptions.FindingsError: The text is not valid JSON with comments, is
            nested deeper than MAX_DEPTH or is longer than
            MAX_TEXT_CHARACTERS. The message includes the position.
    """
    if len(text) > MAX_TEXT_CHARACTERS:
        _raise_findings_error(
            source, 1, 1, f"longer than {MAX_TEXT_CHARACTERS} characters"
        )
    node = _parse_to_nodes(text, source)
    lines: dict[findings.Path, int] = {}
    duplicates: list[findings.Finding] = []
    value = _build_value(node, (), lines, duplicates, source)
    return Document(source, value, lines, tuple(duplicates))


@dataclasses.dataclass(slots=True)
class _Node:
    value: Any
    line: int
    depth: int = 0


@dataclasses.dataclass(slots=True)
class _Pair:
    key: str
    line: int
    node: _Node


@dataclasses.dataclass(slots=True)
class _Object:
    pairs: list[_Pair]


@dataclasses.dataclass(slots=True)
class _Array:
    nodes: list[_Node]


class _PositionError(Exception):
    def __init__(self, token: Any, message: str) -> None:
        super().__init__(message)
        self.line = token.line
        self.column = token.column
        self.message = message


def _parse_to_nodes(text: str, source: str) -> _Node:
    import lark

    try:
        return _make_parser().parse(text)
    except _PositionError as error:
        _raise_findings_error(source, error.line, error.column, error.message)
    except lark.exceptions.UnexpectedCharacters as error:
        position = error.pos_in_stream or 0
        character = text[position : position + 1]
        message = f"unexpected character {character!r}"
        _raise_findings_error(source, error.line, error.column, message)
    except lark.exceptions.UnexpectedToken as error:
        if error.token.type == "$END":
            line = text.count("\n") + 1
            column = len(text) - text.rfind("\n")
            _raise_findings_error(
                source, line, column, "unexpected end of text"
            )
        message = f"unexpected {str(error.token)[:40]!r}"
        _raise_findings_error(source, error.line, error.column, message)


def _raise_findings_error(
    source: str, line: int, column: int, message: str
) -> NoReturn:
    finding = findings.Finding(source, line, (), message, column)
    raise exceptions.FindingsError([str(finding)])


@functools.cache
def _make_parser() -> Any:
    # Importing Lark takes 11 MB of memory, so it is deferred until a process
    # parses a document.
    import lark

    class Builder(lark.Transformer):
        """Builds nodes during parsing, which avoids an intermediate tree."""

        def start(self, children: list[Any]) -> _Node:
            return children[0]

        def object(self, children: list[Any]) -> _Node:
            pairs = [child for child in children if isinstance(child, _Pair)]
            nodes = [pair.node for pair in pairs]
            return _make_container_node(children, _Object(pairs), nodes)

        def array(self, children: list[Any]) -> _Node:
            nodes = [child for child in children if isinstance(child, _Node)]
            return _make_container_node(children, _Array(nodes), nodes)

        def pair(self, children: list[Any]) -> _Pair:
            token, node = children[0], children[-1]
            return _Pair(_decode_string(token), token.line, node)

        def string(self, children: list[Any]) -> _Node:
            return _Node(_decode_string(children[0]), children[0].line)

        def number(self, children: list[Any]) -> _Node:
            return _Node(_decode_number(children[0]), children[0].line)

        def true(self, children: list[Any]) -> _Node:
            return _Node(True, children[0].line)

        def false(self, children: list[Any]) -> _Node:
            return _Node(False, children[0].line)

        def null(self, children: list[Any]) -> _Node:
            return _Node(None, children[0].line)

    return lark.Lark(
        _GRAMMAR,
        parser="lalr",
        lexer="basic",
        keep_all_tokens=True,
        maybe_placeholders=False,
        transformer=Builder(),
    )


def _make_container_node(
    children: list[Any], value: Any, nodes: list[_Node]
) -> _Node:
    depth = 1 + max((node.depth for node in nodes), default=0)
    if depth > MAX_DEPTH:
        raise _PositionError(
            children[0], f"nested deeper than {MAX_DEPTH} levels"
        )
    return _Node(value, children[0].line, depth)


def _decode_string(token: Any) -> str:
    try:
        text = json.loads(token)
        text.encode()
    except UnicodeEncodeError as error:
        raise _PositionError(token, "unpaired surrogate in a string") from error
    except ValueError as error:
        raise _PositionError(
            token, "invalid escape sequence in a string"
        ) from error
    return text


def _decode_number(token: Any) -> int | float:
    try:
        value = json.loads(token)
    except ValueError as error:
        raise _PositionError(token, "number with too many digits") from error
    if isinstance(value, float) and not math.isfinite(value):
        raise _PositionError(token, "number out of range")
    return value


def _build_value(
    node: _Node,
    path: findings.Path,
    lines: dict[findings.Path, int],
    duplicates: list[findings.Finding],
    source: str,
) -> Any:
    if not path or isinstance(path[-1], int):
        lines[path] = node.line
    if isinstance(node.value, _Array):
        return [
            _build_value(child, (*path, index), lines, duplicates, source)
            for index, child in enumerate(node.value.nodes)
        ]
    if not isinstance(node.value, _Object):
        return node.value
    result: dict[str, Any] = {}
    for pair in node.value.pairs:
        key_path = (*path, pair.key)
        if pair.key in result:
            first_line = lines[key_path]
            message = f"duplicate key, first on line {first_line}"
            duplicates.append(
                findings.Finding(source, pair.line, key_path, message)
            )
        lines[key_path] = pair.line
        result[pair.key] = _build_value(
            pair.node, key_path, lines, duplicates, source
        )
    return result
