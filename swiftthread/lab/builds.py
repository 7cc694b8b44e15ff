"""Builds to compare: this source tree, or another git revision in a temporary worktree."""

import shutil
import subprocess
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from swiftthread.lab.errors import GitError, RevisionError

SOURCE_TREE = Path(__file__).parents[2]
# The name of this source tree among revisions.
TREE_REVISION = "tree"


def _git(command: str, *arguments: str) -> str:
    """Return the output of a git command in this source tree."""
    completed = subprocess.run(
        ["git", "-C", str(SOURCE_TREE), command, *arguments], capture_output=True, text=True, check=False
    )
    if completed.returncode:
        raise GitError(command, completed.stderr.strip().splitlines()[-1])
    return completed.stdout.strip()


@contextmanager
def source_tree(revision: str | None) -> Iterator[Path]:
    """Provide the folder of a build; a worktree is removed at the end.

    Args:
        revision: A git revision; None or `TREE_REVISION` for this source tree.

    Raises:
        RevisionError: There is no such revision.
        GitError: The worktree cannot be made.
    """
    if revision in (None, TREE_REVISION):
        yield SOURCE_TREE
        return
    try:
        commit = _git("rev-parse", "--verify", f"{revision}^{{commit}}")
    except GitError:
        raise RevisionError(str(revision), "no such revision") from None
    folder = Path(tempfile.mkdtemp(prefix="lab-build-"))
    _git("worktree", "add", "--detach", "--force", str(folder), commit)
    try:
        yield folder
    finally:
        shutil.rmtree(folder, ignore_errors=True)
        _git("worktree", "prune")
