"""Conversion of YAML to attrs objects, with errors that name path, line and allowed values."""

from __future__ import annotations

import types
import typing
from enum import Enum
from typing import Any, TypeVar

import attrs
import yaml

from boragetiller.errors import SettingsInvalid
from boragetiller.value_checks import MAX_INT64, is_encodable, is_in_range

T = TypeVar("T")


def structure_yaml(text: str, target: type[T], *, source: str = "input") -> T:
    """
    Parse YAML text into an instance of an attrs class.

    :param text: YAML document
    :param target: attrs class whose fields the document must match; unknown keys are errors
    :param source: name of the input in error messages
    :return: the instance
    :raises SettingsInvalid: the text does not match; names the path, the line and what is allowed
    """
    return structure_node(compose_yaml(text, source=source), target, source=source, path="")


def compose_yaml(text: str, *, source: str) -> yaml.Node:
    """
    Parse YAML text into a tree of nodes that carry their line numbers.

    :param text: YAML document
    :param source: name of the input in error messages
    :return: the root node
    :raises SettingsInvalid: the text is not valid YAML or is empty
    """
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        message = f"{source}: not YAML: {str(error)[:200]}"
        raise SettingsInvalid(message) from error
    if node is None:
        raise SettingsInvalid(f"{source}: the document is empty; a YAML mapping is required")
    return node


def structure_node(node: yaml.Node, target: Any, *, source: str, path: str) -> Any:
    """
    Convert a YAML node to a value of the given type.

    :param node: the node
    :param target: attrs class, enum, scalar, tuple[X, ...], dict[str, X] or X | None
    :param source: name of the input in error messages
    :param path: dotted path of the node in the document
    :return: the value
    :raises SettingsInvalid: the node does not match the type
    """
    if attrs.has(target):
        return _structure_class(node, target, source, path)
    origin = typing.get_origin(target)
    if origin in (typing.Union, types.UnionType):
        return _structure_optional(node, target, source, path)
    if origin is tuple:
        return _structure_sequence(node, target, source, path)
    if origin is dict:
        return _structure_mapping(node, target, source, path)
    if isinstance(target, type) and issubclass(target, Enum):
        return _structure_enum(node, target, source, path)
    return _structure_scalar(node, target, source, path)


def _fail(node: yaml.Node, source: str, path: str, problem: str) -> typing.NoReturn:
    line = node.start_mark.line + 1
    raise SettingsInvalid(f"{source}:{line}: {path or 'document'}: {problem}")


def _structure_class(node: yaml.Node, target: Any, source: str, path: str) -> Any:
    if not isinstance(node, yaml.MappingNode):
        _fail(node, source, path, f"must be a mapping, got {node.tag.rpartition(':')[2]}")
    attrs.resolve_types(target)
    fields = {field.name: field for field in attrs.fields(target) if field.init}
    values: dict[str, Any] = {}
    for key_node, value_node in node.value:
        name = key_node.value
        if name not in fields:
            _fail(key_node, source, f"{path}{name}", f"unknown key; allowed: {', '.join(fields)}")
        if name in values:
            _fail(key_node, source, f"{path}{name}", "key given twice")
        field_type = fields[name].type
        values[name] = structure_node(value_node, field_type, source=source, path=f"{path}{name}.")
    missing = [n for n, f in fields.items() if f.default is attrs.NOTHING and n not in values]
    if missing:
        _fail(node, source, path, f"missing keys: {', '.join(missing)}")
    try:
        return target(**values)
    except (ValueError, TypeError) as error:
        _fail(node, source, path, str(error.args[0] if error.args else error))


def _structure_optional(node: yaml.Node, target: Any, source: str, path: str) -> Any:
    members = [member for member in typing.get_args(target) if member is not type(None)]
    if node.tag == "tag:yaml.org,2002:null":
        return None
    return structure_node(node, members[0], source=source, path=path)


def _structure_sequence(node: yaml.Node, target: Any, source: str, path: str) -> Any:
    if not isinstance(node, yaml.SequenceNode):
        _fail(node, source, path, f"must be a list, got {node.tag.rpartition(':')[2]}")
    member = typing.get_args(target)[0]
    return tuple(
        structure_node(item, member, source=source, path=f"{path}{index}.")
        for index, item in enumerate(node.value)
    )


def _structure_mapping(node: yaml.Node, target: Any, source: str, path: str) -> Any:
    if not isinstance(node, yaml.MappingNode):
        _fail(node, source, path, f"must be a mapping, got {node.tag.rpartition(':')[2]}")
    member = typing.get_args(target)[1]
    return {
        key.value: structure_node(value, member, source=source, path=f"{path}{key.value}.")
        for key, value in node.value
    }


def _structure_enum(node: yaml.Node, target: type[Enum], source: str, path: str) -> Enum:
    allowed = [str(member.value) for member in target]
    if not isinstance(node, yaml.ScalarNode) or node.value not in allowed:
        _fail(node, source, path, f"got {node.value!r:.40}; allowed: {', '.join(allowed)}")
    return next(member for member in target if str(member.value) == node.value)


def _structure_scalar(node: yaml.Node, target: Any, source: str, path: str) -> Any:
    if not isinstance(node, yaml.ScalarNode):
        _fail(
            node,
            source,
            path,
            f"must be of type {target.__name__}, got {node.tag.rpartition(':')[2]}",
        )
    try:
        value = yaml.SafeLoader("").construct_object(node)
    except (yaml.YAMLError, ValueError):
        _fail(
            node,
            source,
            path,
            f"must be of type {target.__name__}, got an invalid {node.tag.rpartition(':')[2]}",
        )
    if target in (int, float) and type(value) in (int, float):
        value = _check_number(node, value, target, source, path)
    if type(value) is not target:
        _fail(node, source, path, f"must be of type {target.__name__}, got {type(value).__name__}")
    if isinstance(value, str) and not is_encodable(value):
        _fail(node, source, path, f"got {value!r:.40}; lone surrogates are not allowed")
    return value


def _check_number(
    node: yaml.Node, value: float, target: type[float], source: str, path: str
) -> float:
    if not is_in_range(value):
        _fail(node, source, path, f"got {value!r:.40}; must be {-MAX_INT64} to {MAX_INT64}")
    return float(value) if target is float else value


__all__ = ["compose_yaml", "structure_node", "structure_yaml"]
