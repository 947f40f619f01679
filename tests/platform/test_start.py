"""Signals that arrive while a process starts."""

from __future__ import annotations

import contextlib
import os
import signal
import subprocess
import sys
import time

from pathlib import Path

import pytest

from sassafraswharf.platform.main import EXIT_SETTINGS_REFUSED
from sassafraswharf.platform.names import SETTINGS_VARIABLE


ROOT = Path(__file__).parents[2]
LIMIT_S = 20.0


def open_when_read(path: Path) -> int:
    """Return a descriptor for writing, once the process reads its settings."""
    until = time.monotonic() + LIMIT_S
    while time.monotonic() < until:
        try:
            return os.open(path, os.O_WRONLY | os.O_NONBLOCK)
        except OSError:
            time.sleep(0.01)
    message = "the process never read its settings"
    raise TimeoutError(message)


@pytest.mark.parametrize("signals", [1, 5])
@pytest.mark.parametrize("role", ["router", "control"])
def test_sighup_during_start_does_not_end_the_process(
    tmp_path: Path, role: str, signals: int
) -> None:
    """Guards against a process that SIGHUP ends before it has a handler for it.

    The settings file is a named pipe, so that the process blocks in reading it.
    """
    settings = tmp_path / "settings.json"
    os.mkfifo(settings)
    process = subprocess.Popen(
        [sys.executable, "deploy/node.py", role],
        cwd=ROOT,
        env={**os.environ, SETTINGS_VARIABLE: str(settings)},
        stderr=subprocess.PIPE,
    )
    try:
        descriptor = open_when_read(settings)
        for _ in range(signals):
            process.send_signal(signal.SIGHUP)
            time.sleep(0.02)
        # The process may have ended.
        with contextlib.suppress(BrokenPipeError):
            os.write(descriptor, b"{}")
        os.close(descriptor)
        _, complaint = process.communicate(timeout=LIMIT_S)
    finally:
        process.kill()
        process.wait(LIMIT_S)
    assert process.returncode == EXIT_SETTINGS_REFUSED
    assert b"1003" in complaint


def test_signals_are_ignored_before_the_program_is_loaded(tmp_path: Path) -> None:
    """Guards against a SIGHUP that ends a process while it imports its modules."""
    package = tmp_path / "src" / "sassafraswharf" / "platform"
    package.mkdir(parents=True)
    for folder in (package.parent, package):
        (folder / "__init__.py").touch()
    (package / "main.py").write_text(
        "import os, signal\n"
        "os.kill(os.getpid(), signal.SIGHUP)\n"
        "def main():\n    raise SystemExit(7)\n"
    )
    deploy = tmp_path / "deploy"
    deploy.mkdir()
    program = (ROOT / "deploy" / "node.py").read_text()
    (deploy / "node.py").write_text(program)
    ended = subprocess.run(
        [sys.executable, "deploy/node.py", "router"],
        cwd=tmp_path,
        timeout=LIMIT_S,
        check=False,
    )
    assert ended.returncode == 7
