"""Lists and clears the parts of prompts under which endpoints ended, for operators."""

import msgspec

PARTS_PATH = b"/operators/parts"


class ClearedPart(msgspec.Struct):
    """An operator's request to clear a part."""

    part: str


async def answer_parts(ledger, decisions, request, caller):
    """Answer a request to list the parts with evidence, or to clear one and list the rest.

    Parameters
    ----------
    ledger : CrashLedger
    decisions : DecisionLog
    request : CallerRequest
    caller : ServerConnection
    """
    if request.method == b"POST":
        try:
            part = msgspec.json.decode(request.body, type=ClearedPart).part
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            await caller.send_response(400, [], str(error).encode())
            return
        decisions.record("part_cleared_by_operator", part=part)
        ledger.clear(part)
    listed = [_describe(ledger, listed) for listed in ledger.listing()]
    await caller.send_response(200, [], msgspec.json.encode({"parts": listed}))


def _describe(ledger, listed):
    return {
        "part": listed.part,
        "verdict": listed.verdict.name.lower(),
        "ends": len(listed.ends),
        "last_end_age_ms": round(min(listed.ends.values(), default=-1.0)),
        "proven_with": sorted(ledger.proven_with(listed.part)),
    }
