"""Builds to compare: this tree, or another git revision in a worktree of its own, taken away afterwards."""

import shutil
import subprocess
import tempfile
from contextlib import contextmanager
from pathlib import Path

from swiftthread.lab.runner import SOURCE_TREE, RunError


def _git(*arguments):
    completed = subprocess.run(
        ["git", "-C", str(SOURCE_TREE), *arguments], capture_output=True, text=True, check=False
    )
    if completed.returncode:
        raise RunError(f"git {arguments[0]}: {completed.stderr.strip().splitlines()[-1]}")
    return completed.stdout.strip()


@contextmanager
def source_tree(rev):
    """The folder of a build; None or "tree": this one."""
    if rev in (None, "tree"):
        yield SOURCE_TREE
        return
    try:
        commit = _git("rev-parse", "--verify", f"{rev}^{{commit}}")
    except RunError:
        raise RunError(f"{rev}: no such revision") from None
    folder = Path(tempfile.mkdtemp(prefix="lab-build-"))
    _git("worktree", "add", "--detach", "--force", str(folder), commit)
    try:
        yield folder
    finally:
        shutil.rmtree(folder, ignore_errors=True)
        _git("worktree", "prune")
