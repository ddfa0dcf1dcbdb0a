"""One started process of the system, and its ready line."""

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
    """A process ended or kept silent before it was ready."""


class Process:
    """A ``sardinetrack`` command that prints one JSON line when ready."""

    def __init__(self, name: str, arguments: list[str], folder: Path) -> None:
        """Start it.

        :param name: for the log file.
        :param arguments: the words after ``sardinetrack``.
        :param folder: where its log goes.
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
        """Hand out the process."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Kill what still runs."""
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
        """Read the ready line.

        :return: what it says.
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
        """The end of its log."""
        self._log.flush()
        return self.log_path.read_text(errors='replace')[-characters:]

    def freeze(self) -> None:
        """Pause it, as a stalled machine would."""
        os.kill(self.pid, signal.SIGSTOP)

    def thaw(self) -> None:
        """Let it go on."""
        os.kill(self.pid, signal.SIGCONT)

    def terminate(self) -> None:
        """Ask it to drain and end."""
        self._popen.terminate()

    def wait(self) -> int:
        """Wait for its end.

        :return: the exit code.
        """
        return self._popen.wait(EXIT_SECONDS)

    def kill(self) -> None:
        """End it at once."""
        if self.running:
            self._popen.kill()
            self._popen.send_signal(signal.SIGCONT)
        self._popen.wait()
        if self._popen.stdout is not None:
            self._popen.stdout.close()
