"""Steps for connections that are acquired and released."""

from __future__ import annotations

from unittest import mock

from behave import when

from sardinetrack.relay import sender


@when("the next request can't be prepared once its connection is acquired")
def fail_preparing(context):
    fault = RuntimeError('not prepared')
    patch = mock.patch.object(sender, 'ServerNotices', side_effect=fault)
    patch.start()
    context.add_cleanup(patch.stop)
