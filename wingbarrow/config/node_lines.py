"""Line numbers of the nodes of a KDL document, which the parser does not report.

The scan follows the KDL 1.0 and 2.0 grammars as far as node boundaries require: strings, raw strings, comments,
slashdash, children, semicolons and line continuations.
"""

from __future__ import annotations

import re
from bisect import bisect_left

_STRING = re.compile(r'"""(?:.|\n)*?"""|"(?:\\(?:.|\n)|[^"\\])*"')
_RAW_STRING = re.compile(r'r?(#+)"(?:.|\n)*?"\1(?!#)|r"[^"]*"')
_SPACE = re.compile(r"(?:[ \t\ufeff]|//[^\n]*|\\[ \t]*(?://[^\n]*)?\n)+")
_WORD = re.compile(r'[^\s"{};\\/()=]+')


class NodeLines:
    """Scans a KDL text.

    `lines` has the 1-based line of every node in document order, without slashdashed nodes. `top_level_nodes` has
    (line, start offset, end offset) of each top-level node.
    """

    def __init__(self, text: str) -> None:
        self._text = text
        self._at = 0
        self._ends = [match.start() for match in re.finditer("\n", text)]
        self.lines: list[int] = []
        self.top_level_nodes: list[
            tuple[int, int, int]
        ] = []  # line, start and end of each top-level node's text
        try:
            self._nodes(True, True)
        except IndexError:
            pass  # unbalanced text, for which the parser reports the error

    def _line(self) -> int:
        return bisect_left(self._ends, self._at) + 1

    def _skip_comment(self) -> bool:
        if not self._text.startswith("/*", self._at):
            return False
        depth = 0
        while self._at < len(self._text):
            if self._text.startswith("/*", self._at):
                depth, self._at = depth + 1, self._at + 2
            elif self._text.startswith("*/", self._at):
                depth, self._at = depth - 1, self._at + 2
                if not depth:
                    break
            else:
                self._at += 1
        return True

    def _skip_space(self, newlines: bool) -> None:
        while self._at < len(self._text):
            match = _SPACE.match(self._text, self._at)
            if match:
                self._at = match.end()
            elif newlines and self._text[self._at] in "\r\n;":
                self._at += 1
            elif not self._skip_comment():
                return

    def _nodes(self, counted: bool, top: bool) -> None:
        while True:
            self._skip_space(True)
            if self._at >= len(self._text):
                return
            if self._text[self._at] == "}":
                self._at += 1
                return
            dashed = self._text.startswith("/-", self._at)
            if dashed:
                self._at += 2
                self._skip_space(True)
            line, start = self._line(), self._at
            if counted and not dashed:
                self.lines.append(line)
            self._node(counted and not dashed)
            if top:
                self.top_level_nodes.append((line, start, self._at))

    def _node(self, counted: bool) -> None:
        before = self._at
        while self._at < len(self._text):
            self._skip_space(False)
            if self._at >= len(self._text) or self._text[self._at] in "\r\n;}":
                return
            dashed = self._text.startswith("/-", self._at)
            if dashed:
                self._at += 2
                self._skip_space(True)
            if self._text[self._at] == "{":
                self._at += 1
                self._nodes(counted and not dashed, False)
                continue
            match = _RAW_STRING.match(self._text, self._at) or _STRING.match(self._text, self._at)
            match = match or _WORD.match(self._text, self._at)
            self._at = match.end() if match else self._at + 1
        if self._at == before:
            self._at += 1
