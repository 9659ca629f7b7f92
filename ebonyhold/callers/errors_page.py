"""Generates docs/ERRORS.md from the registry of refusal codes.

Run ``python -m ebonyhold.callers.errors_page > docs/ERRORS.md``.
"""

from __future__ import annotations

from ebonyhold.callers._codes import (
    Ran,
    RefusalCode,
    codes,
)

INTRODUCTION = """\
# Refusals

Whatever the fleet refuses, it refuses in one JSON shape, which clients of the
chat-completions protocol read as well:

```json
{"error": {"message": "...", "type": "...", "code": "...", "param": null,
           "request_id": "...", "not_run": true, "retry_after": 1.0}}
```

- `code` is stable; `message` is for people and may change.
- `not_run: true` stands only where it is proved that the request did not run.
  Otherwise there is `outcome: "unknown"` in its place.
- `retry_after` is in seconds; the header `Retry-After` has it rounded up.  Where
  it is missing, the same request will be refused again.
- A stream that has begun and cannot be completed ends with `event: error` and
  this object as its data, and without `data: [DONE]`.

This page is generated: `python -m ebonyhold.callers.errors_page > docs/ERRORS.md`.

| Code | Status | Ran | Meaning | What to do |
| --- | --- | --- | --- | --- |
"""

GATEWAY = """
## Refusals of the gateway

The gateway answers `{"error": CODE}`; its other codes are listed in `OPERATIONS.md`.

| Code | Status | Ran | Meaning | What to do |
| --- | --- | --- | --- | --- |
| `servers_busy` | 503 | not run | Prompts wait so long at all servers that the first \
event would come after the request's deadline. | Try again after `Retry-After`, \
at most 2 s, or allow more time. |
| `server_lost` | 502 | unknown | A server that may have run the request broke off or \
failed, and no other one could be asked. A silence alone is no reason: \
the request waits for it until its deadline. | Send the request again where it may \
run twice. |
| `no_answer_in_time` | 504 | unknown | No server gave a whole answer before the \
request's deadline. | Send the request again where it may run twice, or allow more \
time. |

A stream that has begun and cannot be completed ends without its last chunk, and its
connection is closed: a server broke off and no other one could go on, or the deadline
has come. A pause of the server alone is no such reason. Where the route lets streams be
resumed, send the request again with `Last-Event-Id`.
"""


def line(code: RefusalCode) -> str:
    """Return the line of the table for one code."""
    ran = "not run" if code.ran is Ran.NO else "unknown"
    return f"| `{code.code}` | {code.status} | {ran} | {code.meaning} | {code.advice} |"


def page() -> str:
    """Return the page, with the callers' codes in alphabetical order."""
    lines = "\n".join(line(codes[name]) for name in sorted(codes))
    return f"{INTRODUCTION}{lines}\n{GATEWAY}"


if __name__ == "__main__":
    print(page(), end="")
