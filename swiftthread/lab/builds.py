"""Builds to compare: this tree, or another git revision in a worktree of its own, taken away afterwards."""

import shutil
import subprocess
import tempfile
from contextlib import contextmanager
from pathlib import Path

from swiftthread.lab.runner import TREE, Trouble


def _git(*words):
    done = subprocess.run(["git", "-C", str(TREE), *words], capture_output=True, text=True, check=False)
    if done.returncode:
        raise Trouble(f"git {words[0]}: {done.stderr.strip().splitlines()[-1]}")
    return done.stdout.strip()


@contextmanager
def tree_of(rev):
    """The folder of a build; None or "tree": this one."""
    if rev in (None, "tree"):
        yield TREE
        return
    try:
        commit = _git("rev-parse", "--verify", f"{rev}^{{commit}}")
    except Trouble:
        raise Trouble(f"{rev}: no such revision") from None
    folder = Path(tempfile.mkdtemp(prefix="lab-build-"))
    _git("worktree", "add", "--detach", "--force", str(folder), commit)
    try:
        yield folder
    finally:
        shutil.rmtree(folder, ignore_errors=True)
        _git("worktree", "prune")
