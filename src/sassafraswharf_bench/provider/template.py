"""Fills in the settings template of the deploy file."""

from __future__ import annotations

import re

from typing import TYPE_CHECKING

import msgspec


if TYPE_CHECKING:
    from collections.abc import Mapping


SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
VALUE = re.compile(r"\{\{([\w.]+)\|json\}\}")


def render(template: str, fields: Mapping[str, object]) -> str:
    """Return the template with its values and optional sections filled in.

    >>> render('{{#a}}{ "a": {{a|json}} }{{/a}}', {"a": [1]})
    '{ "a": [1] }'
    >>> render('{{#a}}{ "a": {{a|json}} }{{/a}}', {})
    ''
    """
    text = SECTION.sub(
        lambda match: match[2] if find(fields, match[1]) else "", template
    )
    return VALUE.sub(
        lambda match: msgspec.json.encode(find(fields, match[1])).decode(), text
    )


def find(fields: Mapping[str, object], path: str) -> object:
    """Return the field at a dotted path, ``None`` if there is none."""
    value: object = fields
    for name in path.split("."):
        value = value.get(name) if isinstance(value, dict) else None
    return value
