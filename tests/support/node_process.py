"""A process of the deploy file, on a loopback address of its own."""

from __future__ import annotations

import contextlib
import errno
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from functools import partial
from http.client import HTTPConnection
from pathlib import Path
from types import MappingProxyType

import msgspec

from sardinetrack.platform.settings import METRICS_PORT

ROOT = Path(__file__).parents[2]
WAIT_SECONDS = 30.0
"""Only ends a wait in vain; a busy machine takes seconds to start a process."""
_POLL_SECONDS = 0.02
PORTS = MappingProxyType(
    {
        'callers': 8783,
        'ready': 8780,
        'entries': 7400,
        'metrics': METRICS_PORT,
    }
)
_SETTINGS = """
nodeName = "{role}-1"
ip = "{ip}"
zone = "galata"
internalPortRange = [7400,7415]
[listenAddresses]
frontend = "{ip}:8783"
ready = "{ip}:8780"
[limits]
memoryMb = {memory_mb}
maxFds = {max_descriptors}
[bounds]
graceS = 8
failClosed = true
revokeMs = {revoke_ms}
[platform]
address = "{store}"
"""
SLOW_MODULE = """
import atexit, os, sys

def wait_for(gate):
    if gate:
        open(gate).read()

wait_for(os.environ.get('IMPORT_GATE'))
atexit.register(wait_for, os.environ.get('EXIT_GATE'))
sys.path.remove(os.path.dirname(__file__))
name = __name__
del sys.modules[name]
__import__(name)
"""
"""Stands before a library; waits as an import from a slow disk does."""


def free_ip():
    """Return a loopback address at which nobody listens on our ports."""
    while True:
        ip = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}.7'
        with contextlib.suppress(OSError):
            for port in PORTS.values():
                listen(ip, port).close()
            return ip


def listen(ip, port):
    """Listen, and accept nothing."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((ip, port))
    except OSError:
        listener.close()
        raise
    listener.listen()
    return listener


def wait_until(condition, what):
    """Wait for a condition; fail if it never holds."""
    deadline = time.monotonic() + WAIT_SECONDS
    while not condition():
        assert time.monotonic() < deadline, f'in vain: {what}'
        time.sleep(_POLL_SECONDS)


def _close(descriptors):
    for number in descriptors:
        os.close(number)


class Gate:
    """A FIFO at which a process waits until it is opened."""

    def __init__(self, path):
        self.path = path
        self._fileno = None
        os.mkfifo(path)

    def wait_reached(self):
        """Wait until the process waits at the gate."""
        wait_until(self._reached, f'nobody waits at {self.path}')

    def open(self):
        """Let the process go on."""
        self.wait_reached()
        os.close(self._fileno)

    def _reached(self):
        if self._fileno is not None:
            return True
        try:
            self._fileno = os.open(self.path, os.O_WRONLY | os.O_NONBLOCK)
        except OSError as error:
            assert error.errno == errno.ENXIO
            return False
        return True


class NodeProcess:
    """An entry or a side; one at a time has its address."""

    def __init__(
        self,
        role,
        folder,
        *,
        ip=None,
        store='127.0.0.1:1',
        memory_mb=256,
        max_descriptors=4096,
        **environment,
    ):
        """Write its settings; it is not started yet.

        :param store: where nothing listens by default.
        """
        self.role = role
        self.ip = ip or free_ip()
        self.folder = Path(folder)
        self.settings_path = self.folder / f'{role}.toml'
        self.log_path = self.folder / f'{role}.log'
        self._environment = environment
        self._memory_mb = memory_mb
        self._max_descriptors = max_descriptors
        self.store = store
        self._popen = None
        self._interpreter = [sys.executable]
        self._start_script = ROOT / 'deploy' / 'start.py'
        self.closed_descriptors = ()
        """Standard descriptors that it is started without."""
        self.write_settings()

    def write_settings(self):
        """Write its settings file."""
        self.settings_path.write_text(self.settings())

    def settings(self, revoke_ms=5000):
        """Return the text of its settings file."""
        return _SETTINGS.format(
            role=self.role,
            ip=self.ip,
            store=self.store,
            memory_mb=self._memory_mb,
            max_descriptors=self._max_descriptors,
            revoke_ms=revoke_ms,
        )

    def start(self):
        """Start it."""
        with self.log_path.open('ab') as log:
            self._popen = subprocess.Popen(
                [*self._interpreter, self._start_script, self.role],
                cwd=ROOT,
                stdout=log,
                stderr=log,
                preexec_fn=partial(_close, self.closed_descriptors),
                env={
                    **os.environ,
                    'SARDINETRACK_BOOT': str(self.settings_path),
                    **self._environment,
                },
            )

    def slow_down_imports(self, library):
        """Make it wait at a gate as it loads a library."""
        modules = self.folder / 'modules'
        modules.mkdir()
        (modules / f'{library}.py').write_text(SLOW_MODULE)
        self._environment['PYTHONPATH'] = str(modules)

    def hide_libraries(self):
        """Start it from a checkout whose build alone has its libraries."""
        checkout = self.folder / 'checkout'
        (checkout / 'target').mkdir(parents=True)
        for name in ('src', 'deploy'):
            (checkout / name).symlink_to(ROOT / name)
        libraries = Path(msgspec.__file__).parents[1]
        (checkout / 'target' / 'deps').symlink_to(libraries)
        self._start_script = checkout / 'deploy' / 'start.py'
        # Without the folder of installed libraries, and without variables.
        self._interpreter += ['-S', '-E']

    def gate(self, variable):
        """Create a gate of the slow module."""
        gate = Gate(self.folder / variable.lower())
        self._environment[variable] = str(gate.path)
        return gate

    @property
    def pid(self):
        return self._popen.pid

    @property
    def running(self):
        return self._popen.poll() is None

    def send(self, name):
        """Send a signal by its name."""
        self._popen.send_signal(signal.Signals[name])

    def wait_ended(self):
        """Return the exit code; negative if a signal ended it."""
        return self._popen.wait(WAIT_SECONDS)

    def lines(self, event):
        """Return its log lines of one event."""
        return [line for line in self._lines() if line['event'] == event]

    def _lines(self):
        for line in self.log_path.read_text(errors='replace').splitlines():
            with contextlib.suppress(ValueError):
                yield json.loads(line)

    def wait_line(self, event, count=1):
        """Wait for log lines of an event, and return the last one."""
        wait_until(
            lambda: len(self.lines(event)) >= count or not self.running,
            f'{count} lines {event}',
        )
        assert self.running, self.log_path.read_text()[-2000:]
        return self.lines(event)[-1]

    @property
    def peak_bytes(self):
        """The largest resident size that it has had."""
        status = Path(f'/proc/{self.pid}/status').read_text()
        kilobytes = status.partition('VmHWM:')[2].split()[0]
        return int(kilobytes) * 1024

    @property
    def descriptors(self):
        """The number of its open descriptors."""
        return len(os.listdir(f'/proc/{self.pid}/fd'))

    def unread_bytes(self, port_name):
        """The bytes that have arrived at a port and are not read yet."""
        address = bytes(reversed(socket.inet_aton(self.ip))).hex().upper()
        local = f'{address}:{PORTS[port_name]:04X}'
        rows = Path('/proc/net/tcp').read_text().splitlines()[1:]
        queues = [row.split()[4] for row in rows if row.split()[1] == local]
        return sum(int(one.partition(':')[2], 16) for one in queues)

    def responds(self, port_name, target='/'):
        """Return the status of a request, or 0 without a response."""
        address = (self.ip, PORTS[port_name])
        connection = HTTPConnection(*address, timeout=WAIT_SECONDS)
        try:
            connection.request('GET', target)
            return connection.getresponse().status
        except OSError:
            return 0
        finally:
            connection.close()

    def accepts(self, port_name):
        """Whether something accepts connections on a port."""
        with socket.socket() as probe:
            return not probe.connect_ex((self.ip, PORTS[port_name]))

    def kill(self):
        """End it, whatever it does."""
        if self._popen is not None and self.running:
            self._popen.kill()
            self._popen.wait()
