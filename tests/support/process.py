"""A process of the system, and the ready line that it prints."""

from __future__ import annotations

import json
import os
import select
import signal
import subprocess
import sys
import time
from pathlib import Path
from types import TracebackType
from typing import Any, Final, Self

READY_SECONDS: Final = 20.0
EXIT_SECONDS: Final = 40.0


class ProcessFailedError(Exception):
    """A process ended, or timed out, before it was ready."""


class Process:
    """A ``sardinetrack`` command that prints one JSON line when ready."""

    def __init__(self, name: str, arguments: list[str], folder: Path) -> None:
        """Start the process.

        :param name: names the log file.
        :param arguments: command-line arguments of ``sardinetrack``.
        :param folder: receives the log file.
        """
        self.name = name
        self.log_path = folder / f'{name}.log'
        self._log = self.log_path.open('ab')
        self._popen = subprocess.Popen(
            [sys.executable, '-m', 'sardinetrack', *arguments],
            stdout=subprocess.PIPE,
            stderr=self._log,
            env={**os.environ, 'PYTHONUNBUFFERED': '1'},
        )
        self.ready: dict[str, Any] = {}

    def __enter__(self) -> Self:
        """Return the process."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Kill the process if it still runs."""
        self.kill()
        self._log.close()

    @property
    def pid(self) -> int:
        """The process's id."""
        return self._popen.pid

    @property
    def running(self) -> bool:
        """Whether it has not ended."""
        return self._popen.poll() is None

    def wait_ready(self) -> dict[str, Any]:
        """Wait for the ready line and read it.

        :return: its content.
        """
        stdout = self._popen.stdout
        assert stdout is not None
        deadline = time.monotonic() + READY_SECONDS
        while time.monotonic() < deadline:
            readable, _, _ = select.select([stdout], [], [], 0.1)
            if readable:
                line = stdout.readline()
                if not line:
                    break
                self.ready = json.loads(line)
                return self.ready
        raise ProcessFailedError(f'{self.name}: {self.log_tail()}')

    def log_tail(self, characters: int = 3000) -> str:
        """Return the end of its log."""
        self._log.flush()
        return self.log_path.read_text(errors='replace')[-characters:]

    def freeze(self) -> None:
        """Suspend it, as on a stalled machine."""
        os.kill(self.pid, signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume it."""
        os.kill(self.pid, signal.SIGCONT)

    def terminate(self) -> None:
        """Send SIGTERM: it drains and exits."""
        self._popen.terminate()

    def wait(self) -> int:
        """Wait until it exits.

        :return: the exit code.
        """
        return self._popen.wait(EXIT_SECONDS)

    def kill(self) -> None:
        """Kill it with SIGKILL."""
        if self.running:
            self._popen.kill()
            self._popen.send_signal(signal.SIGCONT)
        self._popen.wait()
        if self._popen.stdout is not None:
            self._popen.stdout.close()
