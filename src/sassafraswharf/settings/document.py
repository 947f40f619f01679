"""Parser for JSON with comments."""

from __future__ import annotations

import json

from result import Err
from result import Ok
from result import Result


def parse_document(text: str) -> Result[object, str]:
    """Decode JSON with comments; a repeated field is an error.

    Plain JSON does not need ``json5``, so a process whose files have no
    comments does not load that library.
    """
    try:
        return Ok(json.loads(text, object_pairs_hook=_reject_repeated_fields))
    except RecursionError:
        return Err("nested too deeply")
    except ValueError:
        return _parse_json5(text)


def _parse_json5(text: str) -> Result[object, str]:
    try:
        import json5  # loaded only for files that need it
    except ImportError:
        return Err("no JSON, and json5 is not installed")
    try:
        return Ok(json5.loads(text, allow_duplicate_keys=False))
    except RecursionError:
        return Err("nested too deeply")
    except ValueError as error:
        return Err(str(error))


def _reject_repeated_fields(pairs: list[tuple[str, object]]) -> dict[str, object]:
    fields = dict(pairs)
    if len(fields) != len(pairs):
        message = "a field is repeated"
        raise ValueError(message)
    return fields
