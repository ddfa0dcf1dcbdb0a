"""Profile each started process that has this folder on its ``PYTHONPATH``.

``BENCHMARK_PROFILE_DIR`` is the folder for the profile data: one file for each
process, named by its role and process id.
"""

from __future__ import annotations

import atexit
import cProfile
import os
import sys
from pathlib import Path

_FOLDER = os.environ.get('BENCHMARK_PROFILE_DIR')


def _write(profile: cProfile.Profile) -> None:
    profile.disable()
    words = [Path(word).stem for word in sys.argv[1:]]
    name = '-'.join([*words, str(os.getpid())])
    profile.dump_stats(f'{_FOLDER}/{name}.prof')


if _FOLDER:
    _profile = cProfile.Profile()
    atexit.register(_write, _profile)
    _profile.enable()
