"""
The optional policy file of the operators, in YAML.

Its path is in the environment variable BORAGETILLER_POLICY. Without the variable nothing is read
and nothing changes.
"""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any

import attrs

from boragetiller.errors import SettingsInvalid
from boragetiller.tables.hedging import HedgeShares, HedgingSettings

if TYPE_CHECKING:
    from collections.abc import Mapping

POLICY_VARIABLE = "BORAGETILLER_POLICY"
MAX_SHARE = 0.5  # more would be a second attempt for every other request
MAX_FILE_BYTES = 1_048_576
MIN_KEY_CHARACTERS = 16  # a shorter bearer key can be guessed
SHARE_FIELDS = ("request_share", "prompt_token_share")


@attrs.frozen(kw_only=True)
class Policy:
    """What the operators set in the policy file."""

    hedging: HedgingSettings | None = None  # None leaves hedging as it is without the file
    operator_key: str | None = attrs.field(default=None, repr=False)  # None for no queries


def load_policy(environment: Mapping[str, str]) -> Policy:
    """
    Read the policy file that the environment names.

    :param environment: environment variables
    :return: the policy, without any setting if the variable is absent or empty
    :raises SettingsInvalid: the file cannot be read, or a value is not allowed; names the value
        and what is allowed
    """
    path = environment.get(POLICY_VARIABLE, "")
    if not path:
        return Policy()
    import yaml  # noqa: PLC0415  loaded only if a file is configured, for a fast start

    try:
        text = Path(path).read_text(encoding="utf-8")
        if len(text) > MAX_FILE_BYTES:
            raise SettingsInvalid(f"{path}: larger than {MAX_FILE_BYTES} bytes")
        document = yaml.safe_load(text)
    except (OSError, ValueError, RecursionError, yaml.YAMLError) as error:
        raise SettingsInvalid(f"{path}: cannot be read as YAML: {error}") from error
    try:
        return _build_policy(document)
    except ValueError as error:
        raise SettingsInvalid(f"{path}: {error}") from error


def _build_policy(document: object) -> Policy:
    fields = _get_mapping(document, "the file", ("hedging", "operator"))
    hedging = None
    if fields.get("hedging") is not None:
        hedging = _build_hedging(fields["hedging"])
    operator_key = None
    if fields.get("operator") is not None:
        operator = _get_mapping(fields["operator"], "operator", ("key",))
        operator_key = _check_key(operator.get("key"))
    return Policy(hedging=hedging, operator_key=operator_key)


def _build_hedging(document: object) -> HedgingSettings:
    fields = _get_mapping(document, "hedging", (*SHARE_FIELDS, "routes"))
    default = _build_shares(fields, "hedging", HedgeShares())
    routes = _get_mapping(fields.get("routes"), "hedging.routes", None)
    by_route = {}
    for name, value in routes.items():
        field = f"hedging.routes.{name}"
        shares = _get_mapping(value, field, SHARE_FIELDS)
        by_route[str(name)] = _build_shares(shares, field, default)
    return HedgingSettings(default=default, by_route=by_route)


def _build_shares(fields: dict[Any, Any], field: str, default: HedgeShares) -> HedgeShares:
    shares = {
        name: _check_share(fields[name], f"{field}.{name}")
        for name in SHARE_FIELDS
        if fields.get(name) is not None
    }
    return attrs.evolve(default, **shares)


def _check_share(value: object, field: str) -> float:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not 0 <= value <= MAX_SHARE:  # type: ignore[operator]
        raise ValueError(f"{field}: got {value!r:.60}; allowed is a number from 0 to {MAX_SHARE}")
    return float(value)  # type: ignore[arg-type]


def _check_key(value: object) -> str:
    # The message leaves the value out, since it may be most of a key.
    if not isinstance(value, str) or len(value) < MIN_KEY_CHARACTERS or not value.isascii():
        raise ValueError(
            f"operator.key: allowed is a text of at least {MIN_KEY_CHARACTERS} ASCII characters"
        )
    return value


def _get_mapping(value: object, field: str, allowed: tuple[str, ...] | None) -> dict[Any, Any]:
    if value is None:
        return {}
    if not isinstance(value, dict):
        raise ValueError(f"{field}: got {value!r:.60}; allowed is a mapping")
    for name in value:
        if allowed is not None and name not in allowed:
            raise ValueError(
                f"{field}: got the unknown field {name!r:.60}; allowed are {', '.join(allowed)}"
            )
    return value


__all__ = ["POLICY_VARIABLE", "Policy", "load_policy"]
