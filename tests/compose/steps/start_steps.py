"""Steps for starts and ends of real processes."""

from __future__ import annotations

import tempfile
import time

from behave import given, then, when
from tests.support.node_process import (
    PORTS,
    NodeProcess,
    listen,
    wait_until,
)

from sardinetrack.relay.entry import DRAIN_ACCEPT_SECONDS


def _process(context, role, **options):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    process = NodeProcess(role, folder.name, **options)
    context.add_cleanup(process.kill)
    return process


@given('a process of role {role} that loads {library} slowly')
def slow_imports(context, role, library):
    context.process = _process(context, role)
    context.process.slow_down_imports(library)
    context.gate = context.process.gate('IMPORT_GATE')
    context.process.start()


@when('it gets {name} while it loads them')
def signal_while_loading(context, name):
    context.gate.wait_reached()
    context.process.send(name)


@when('it has loaded them')
def finish_loading(context):
    context.gate.open()


@then('it runs, and has read its settings again')
def runs_and_reloaded(context):
    context.process.wait_line('reloaded')
    assert context.process.running


@then('it ends with code {code:d}')
def ends_with(context, code):
    ended = context.process.wait_ended()
    assert ended == code, ended


@then('it ends with code {code:d}, and has not started')
def ends_unstarted(context, code):
    ends_with(context, code)
    assert not context.process.lines('ready')
    assert not context.process.lines('stopping')


@given('a process of role {role} without standard input and output')
def without_input_and_output(context, role):
    context.process = _process(context, role)
    context.process.closed_descriptors = (0, 1)


@given('a process of role {role} without any standard descriptor')
def without_descriptors(context, role):
    context.process = _process(context, role)
    context.process.closed_descriptors = (0, 1, 2)


@given('a process of role {role} without a path to the libraries')
def without_path(context, role):
    context.process = _process(context, role)
    context.process.hide_libraries()


@given('a process of role {role} that takes long to exit')
def slow_exit(context, role):
    context.process = _process(context, role)
    context.process.slow_down_imports('httptools')
    context.gate = context.process.gate('EXIT_GATE')
    context.process.start()
    context.process.wait_line('started')
    wait_until(
        lambda: context.process.accepts('metrics'), 'it serves its metrics'
    )


@when('it has stopped and gets {name} before it exits')
def signal_before_exit(context, name):
    context.process.send('SIGTERM')
    context.gate.wait_reached()
    context.process.send(name)
    context.gate.open()


@given('a process of role {role} whose port for {port} is taken')
def take_port(context, role, port):
    context.process = _process(context, role)
    context.holder = listen(context.process.ip, PORTS[port])
    context.add_cleanup(context.holder.close)


@given('a process of role entry that runs')
def run_entry(context):
    context.process = _process(context, 'entry')
    context.process.start()
    wait_until(lambda: context.process.accepts('callers'), 'it listens')


@when('it is started')
def start(context):
    context.process.start()


@then('it waits for its port for {port}')
def waits_for_port(context, port):
    line = context.process.wait_line('port_unavailable')
    assert line['port'] == port, line


@when('the port is free')
def free_port(context):
    context.holder.close()


@then('it listens on its port for {port}')
def listens(context, port):
    wait_until(lambda: context.process.accepts(port), f'it listens: {port}')
    assert context.process.running


@then('its health check fails')
def health_check_fails(context):
    status = context.process.responds('ready', '/v1/readyz')
    assert status == 503, status


@when('it gets SIGTERM and its drain refuses new requests')
def drain_refuses(context):
    context.process.send('SIGTERM')
    context.process.wait_line('stopping')
    time.sleep(DRAIN_ACCEPT_SECONDS)


@when('it gets {name}')
def send(context, name):
    context.process.send(name)


@given('a process of role entry that drains')
def draining_entry(context):
    run_entry(context)
    context.process.send('SIGTERM')
    context.process.wait_line('stopping')


@when('its successor is started')
def start_successor(context):
    context.successor = _process(context, 'entry', ip=context.process.ip)
    context.successor.start()
    context.successor.wait_line('port_unavailable')
    assert context.process.running


@then('the successor serves when the predecessor has ended')
def successor_serves(context):
    assert context.process.wait_ended() == 0
    successor = context.successor
    wait_until(
        lambda: all(map(successor.accepts, ('callers', 'ready', 'metrics'))),
        'it listens on all ports',
    )
    # Without a store it knows no configuration.
    assert successor.responds('callers') == 503
    assert successor.running


@given('a process whose settings file is torn')
def tear_settings(context):
    context.process = _process(context, 'side')
    _tear(context)


def _tear(context):
    process = context.process
    text = process.settings()
    process.settings_path.write_text(text[: text.index('[platform]') + 4])


@given('a process whose settings file is absent')
def remove_settings(context):
    context.process = _process(context, 'side')
    context.process.settings_path.unlink()


@then('it waits for its settings')
def waits_for_settings(context):
    line = context.process.wait_line('config_refused')
    assert line['what'] == 'settings', line


@given('a process whose settings lack {what}')
def lacking_settings(context, what):
    context.process = _process(context, 'entry')
    process = context.process
    line, replacement = {
        'the address for callers': ('frontend', 'other'),
        'the address for readiness': ('ready =', 'other ='),
        'a valid port for callers': (':8783', ':78783'),
    }[what]
    text = process.settings()
    assert line in text
    process.settings_path.write_text(text.replace(line, replacement))


@then('after {count:d} more tries it has told so once')
def told_once(context, count):
    # The interval between two tries doubles from 0.1 s.
    time.sleep(0.1 * 2**count)
    assert len(context.process.lines('config_refused')) == 1


@then('it ends with code {code:d}, and has not opened the port')
def ends_unopened(context, code):
    ends_with(context, code)
    assert not context.process.lines('port_opened')


@when('the settings file is written')
def write_settings(context):
    context.process.settings_path.write_text(context.process.settings())


@then('it runs')
def runs(context):
    context.process.wait_line('started')
    wait_until(lambda: context.process.accepts('metrics'), 'it serves')


@when('its settings file is torn and it gets SIGHUP')
def tear_and_reload(context):
    _tear(context)
    context.process.send('SIGHUP')


@then('it keeps its settings')
def keeps_settings(context):
    waits_for_settings(context)
    assert not context.process.lines('reloaded')


@when('the settings file is written with another bound')
def write_changed(context):
    process = context.process
    process.settings_path.write_text(process.settings(revoke_ms=3000))


@then('the changed settings take effect')
def changed_in_effect(context):
    line = context.process.wait_line('reloaded')
    assert line['changed'] == ['revoke_seconds'], line
