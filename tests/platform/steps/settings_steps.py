"""Steps for the settings file."""

from __future__ import annotations

import json
import os
import tempfile
from pathlib import Path
from unittest.mock import patch

from behave import given, then, when
from tests.support.example_settings import SETTINGS

from sardinetrack.compose.settings_file import reload_settings
from sardinetrack.platform.errors import SettingsFileError
from sardinetrack.platform.settings import read_settings
from sardinetrack.topology.freshness import boot_clock


def _reload(context, text):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'node.toml'
        path.write_text(text)
        with patch.dict(os.environ, {'SARDINETRACK_BOOT': str(path)}):
            reload_settings(context.state, context.log)
    context.log.flush()
    lines = os.read(context.log_read, 100_000).splitlines()
    context.line = json.loads(lines[-1])


@when(
    'its settings file says that'
    ' a revocation takes effect after {seconds:d} seconds',
)
def change_revocation(context, seconds):
    _reload(
        context,
        SETTINGS.replace('revokeMs = 5000', f'revokeMs = {seconds}000'),
    )


@when('its settings file is invalid')
def invalidate_settings(context):
    context.before = context.state.settings
    _reload(context, SETTINGS.replace('zone = "galata"', 'zone = 7'))


@then(
    'keys are accepted for less than {seconds:d} seconds,'
    ' and a log line names revoke_seconds',
)
def revocation_changed(context, seconds):
    context.state.freshness.confirm(boot_clock() - seconds)
    assert not context.state.freshness.is_fresh()
    assert context.line['event'] == 'reloaded'
    assert context.line['changed'] == ['revoke_seconds']


@then('the settings are unchanged and a log line explains why')
def settings_unchanged(context):
    assert context.state.settings is context.before
    assert context.line['event'] == 'config_refused'
    assert 'zone' in context.line['cause']


@given("the platform's example settings")
def example_settings(context):
    context.settings_text = SETTINGS


@when('their {line} becomes {other}')
def change_line(context, line, other):
    assert line in context.settings_text
    context.settings_text = context.settings_text.replace(line, other)


@then('the instance has its addresses, limits and store')
def settings_translated(context):
    settings = _read_settings(context)
    assert settings.callers == ('10.1.0.33', 8783)
    assert settings.store == ('10.200.1.7', 8781)
    assert settings.turns_port == 7400
    assert (settings.grace_seconds, settings.revoke_seconds) == (8, 5)


@then('the instance has no engine')
def no_engine(context):
    assert _read_settings(context).engine is None


@then('the instance has the engine {ip}:{port:d}')
def has_engine(context, ip, port):
    assert _read_settings(context).engine == (ip, port)


@then('they are refused, and the message names {named}')
def settings_refused(context, named):
    try:
        _read_settings(context)
    except SettingsFileError as error:
        assert named in str(error), error
        return
    raise AssertionError('they were accepted')


def _read_settings(context):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'node.toml'
        path.write_text(context.settings_text)
        return read_settings(path)
