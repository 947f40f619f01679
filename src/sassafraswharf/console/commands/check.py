"""Checks a settings file or a configuration without sending it."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated
from typing import Final

from cyclopts import Parameter
from result import Err
from result import Result

from sassafraswharf.codes import ResultCode
from sassafraswharf.configuration.validation import check_document
from sassafraswharf.console.exit_codes import ExitCode
from sassafraswharf.console.input_file import STANDARD_INPUT
from sassafraswharf.console.input_file import read_input
from sassafraswharf.console.output import print_line
from sassafraswharf.console.output import print_refusal
from sassafraswharf.console.refusal import Refusal
from sassafraswharf.failure import Failure
from sassafraswharf.settings.document import parse_document
from sassafraswharf.settings.loader import load_settings
from sassafraswharf.settings.loader import parse_settings
from sassafraswharf.settings.node_loader import parse_node


EXAMPLES: Final = """\
sassafraswharf check /etc/sassafraswharf/settings.json5
sassafraswharf check examples/comhairle/hosts/dub-a-1.json5 --no-keys
python deployment.py | sassafraswharf check -
"""
SEEDS_FIELD: Final = "control_seeds"
"""Only settings of a process that finds the others from seeds have this field."""
_CONFIGURATION_FIELDS: Final = frozenset({"weights", "services", "placement"})


def check(
    file: str, /, *, keys: Annotated[bool, Parameter(negative="--no-keys")] = True
) -> int:
    """Check a settings FILE or a configuration; - reads standard input.

    Parameters
    ----------
    file
        Settings or configuration, told apart by their fields.
    keys
        Also check the key files that the settings name.
    """
    checked = _check(file, with_keys=keys)
    if isinstance(checked, Err):
        failure = checked.err_value
        print_refusal(Refusal(failure.code, failure.message, {}))
        return ExitCode.REFUSED
    print_line(f"{file}: {checked.ok_value} acceptable")
    return ExitCode.DONE


def _check(file: str, *, with_keys: bool) -> Result[str, Failure]:
    path = Path(file)
    text = read_input(file)
    if isinstance(text, Err):
        return text
    document = parse_document(text.ok_value)
    if isinstance(document, Err):
        return Err(
            Failure(ResultCode.SETTINGS_UNREADABLE, f"{file}: {document.err_value}")
        )
    value = document.ok_value
    if isinstance(value, dict) and value.keys() & _CONFIGURATION_FIELDS:
        return check_document(value).map(_configuration_result)
    if isinstance(value, dict) and SEEDS_FIELD in value:
        return parse_node(text.ok_value, path).map(_settings_result)
    if with_keys and file != STANDARD_INPUT:
        return load_settings(path).map(_settings_result)
    return parse_settings(text.ok_value, path).map(_settings_result)


def _configuration_result(_: object) -> str:
    return "the configuration is"


def _settings_result(_: object) -> str:
    return "the settings are"
