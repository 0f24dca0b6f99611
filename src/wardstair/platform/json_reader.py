"""Reads JSON that any writer of an object in the store may have influenced.

pydantic's parser is fast, but rejects a whole answer for one object with a lone
surrogate, a long number or deep nesting. Such an answer is read by the standard
library's parser, so that the validation of each object decides. Lone surrogates
are replaced: pydantic lets them pass in texts without a constraint, and they
cannot be encoded for another host.
"""

import json
import re
from typing import TypeVar

from pydantic import BaseModel, ValidationError

# Levels of nesting that are kept; a configuration has about ten.
MAX_DEPTH = 100
# Digits of a number that Python converts; a longer one is kept as text.
MAX_DIGITS = 4000
_TOKENS = re.compile(r'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{}]', re.DOTALL)
# An escape sequence: a pair of surrogates, a lone one, or any other.
_ESCAPES = re.compile(
    r'\\(?:u[dD][89abAB][\da-fA-F]{2}\\u[dD][c-fC-F][\da-fA-F]{2}'
    r'|(?P<lone>u[dD][89a-fA-F][\da-fA-F]{2})|.)',
    re.DOTALL,
)
# Stands for what cannot be decoded, in texts as in bytes.
REPLACEMENT = '\ufffd'
_M = TypeVar('_M', bound=BaseModel)


def parse_document(model: type[_M], document: bytes) -> _M:
    """Parse a document that contains objects of any writer.

    Args:
        model: What the document is validated as.
        document: The JSON text; bytes that are no UTF-8 are replaced.

    Raises:
        ValidationError: It is no JSON, or no document of this form.
    """
    text = document.decode(errors='replace')
    try:
        return model.model_validate_json(text)
    except ValidationError:
        lenient = _parse_leniently(text)
        if lenient is None:
            raise
        return model.model_validate(lenient)


def _parse_leniently(text: str) -> object:
    """Return the parsed document; None if it is no JSON."""
    try:
        return json.loads(
            _ESCAPES.sub(_replace_lone, _cut_deep_values(text)),
            parse_int=_parse_number,
        )
    except ValueError:
        return None


def _replace_lone(escape: re.Match[str]) -> str:
    """Replace a lone surrogate, which no text to other hosts can contain."""
    return REPLACEMENT if escape['lone'] else escape[0]


def _parse_number(digits: str) -> int | str:
    return digits if len(digits) > MAX_DIGITS else int(digits)


def _cut_deep_values(text: str) -> str:
    """Replace lists and objects beyond the maximum depth by null."""
    depth = 0
    kept: list[str] = []
    start = 0
    for token in _TOKENS.finditer(text):
        match token[0]:
            case '[' | '{':
                depth += 1
                if depth == MAX_DEPTH + 1:
                    kept.extend((text[start : token.start()], 'null'))
            case ']' | '}':
                if depth == MAX_DEPTH + 1:
                    start = token.end()
                depth -= 1
    kept.append(text[start:])
    return ''.join(kept)
