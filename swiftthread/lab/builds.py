"""The source trees from which nodes run: this one, or a temporary worktree of another git revision."""

import shutil
import subprocess
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from swiftthread.lab.errors import GitError, RevisionError

SOURCE_TREE = Path(__file__).parents[2]
# The name that stands for this source tree in place of a git revision.
TREE_REVISION = "tree"


def _run_git(command: str, *arguments: str) -> str:
    """Run a git command in this source tree and return its output.

    Raises:
        GitError: The command failed.
    """
    completed = subprocess.run(
        ["git", "-C", str(SOURCE_TREE), command, *arguments], capture_output=True, text=True, check=False
    )
    if completed.returncode:
        raise GitError(command, completed.stderr.strip().splitlines()[-1])
    return completed.stdout.strip()


@contextmanager
def source_tree(revision: str | None) -> Iterator[Path]:
    """Provide the folder of a source tree. A temporary worktree is removed when the context exits.

    Args:
        revision: A git revision. None or `TREE_REVISION` stands for this source tree.

    Raises:
        RevisionError: The revision does not exist.
        GitError: The worktree cannot be created.
    """
    if revision in (None, TREE_REVISION):
        yield SOURCE_TREE
        return
    try:
        commit = _run_git("rev-parse", "--verify", f"{revision}^{{commit}}")
    except GitError:
        raise RevisionError(str(revision), "no such revision") from None
    folder = Path(tempfile.mkdtemp(prefix="lab-build-"))
    _run_git("worktree", "add", "--detach", "--force", str(folder), commit)
    try:
        yield folder
    finally:
        shutil.rmtree(folder, ignore_errors=True)
        _run_git("worktree", "prune")
