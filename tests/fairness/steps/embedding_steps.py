"""Steps that run the example of the documentation."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

from behave import then

PAGE = Path(__file__).resolve().parents[3] / 'docs' / 'embedding.md'


def block(language):
    text = PAGE.read_text()
    return text.split(f'```{language}\n')[1].split('```')[0]


@then('the code of docs/embedding.md prints what the page says')
def run_example(context):
    done = subprocess.run(
        [sys.executable, '-c', block('python')],
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.stdout == block('text'), done
