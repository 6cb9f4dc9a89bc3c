"""The report of a load test, as a table, JSON or a plot."""

from collections import Counter, defaultdict

import msgspec
from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50, 95, 99)
US_PER_MS = 1000
ALL_ACCOUNTS = "all"


class Latencies(msgspec.Struct):
    """Number of values and their percentiles in ms."""

    count: int
    p50: float
    p95: float
    p99: float


class AccountReport(msgspec.Struct):
    """Results of the drafts sent with one key, as their callers observed them."""

    drafts: int
    outcomes: dict[str, int]
    codes: dict[str, int]
    tokens: int
    first_token_ms: Latencies
    gap_ms: Latencies


class OperationReport(msgspec.Struct):
    """Outcomes reported to callers, compared with the executions that the stand-ins counted.

    Attributes
    ----------
    served_once : int
        Reported as complete and run once.
    doubled, lost, untrue : int
        Run more than once; reported as complete but never run; reported as ``not_run`` to all
        requests although run.
    undecided : int
        Never reported as complete, nor as ``not_run`` to all requests, but for example as
        ``unknown``.
    """

    requests: int
    operations: int
    served_once: int
    doubled: int
    lost: int
    untrue: int
    refused: int
    undecided: int


class LoadReport(msgspec.Struct):
    """Report of one load test."""

    duration_s: float
    tokens_per_s: float
    accounts: dict[str, AccountReport]
    operations: OperationReport
    misses: list[str] = []


def _histogram(values_ms):
    histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
    for value in values_ms:
        histogram.record_value(max(LOWEST_US, int(value * US_PER_MS)))
    return histogram


def latencies(values_ms):
    """Return the `Latencies` of values in ms."""
    histogram = _histogram(values_ms)
    percentiles = [
        round(histogram.get_value_at_percentile(p) / US_PER_MS, 2) if values_ms else 0.0
        for p in PERCENTILES
    ]
    return Latencies(len(values_ms), *percentiles)


def _account_report(results):
    first = [r.first_token_ms for r in results if r.first_token_ms is not None]
    gaps = [gap for r in results for gap in r.gaps_ms]
    return AccountReport(
        len(results),
        dict(Counter(r.outcome for r in results)),
        dict(Counter(r.code for r in results if r.code)),
        sum(r.tokens for r in results),
        latencies(first),
        latencies(gaps),
    )


def operation_report(results, executions):
    """Return the `OperationReport`.

    Parameters
    ----------
    results : list of OperationResult
    executions : dict of str to int
        Number of executions by operation id, as counted by the stand-ins.
    """
    by_id = defaultdict(list)
    for result in results:
        by_id[result.operation_id].append(result.outcome)
    counts = Counter()
    for operation_id, outcomes in by_id.items():
        runs = executions.get(operation_id, 0)
        any_complete = "complete" in outcomes
        all_not_run = all(outcome == "not_run" for outcome in outcomes)
        counts["doubled"] += runs > 1
        counts["lost"] += any_complete and runs == 0
        counts["untrue"] += all_not_run and runs > 0
        counts["refused"] += all_not_run and runs == 0
        counts["served_once"] += any_complete and runs == 1
        counts["undecided"] += not any_complete and not all_not_run
    return OperationReport(
        len(results),
        len(by_id),
        counts["served_once"],
        counts["doubled"],
        counts["lost"],
        counts["untrue"],
        counts["refused"],
        counts["undecided"],
    )


def make_report(drafts, operations, executions, duration_s, expectation):
    """Return the `LoadReport`, including the expected outcomes that were missed."""
    by_key = defaultdict(list)
    for result in drafts:
        by_key[result.key.partition(".")[0]].append(result)
    accounts = {ALL_ACCOUNTS: _account_report(drafts)}
    accounts.update((key, _account_report(results)) for key, results in sorted(by_key.items()))
    tokens = sum(r.tokens for r in drafts)
    report = LoadReport(
        round(duration_s, 2),
        round(tokens / duration_s, 1) if duration_s else 0.0,
        accounts,
        operation_report(operations, executions),
    )
    report.misses = find_misses(report, expectation)
    return report


def find_misses(report, expectation):
    """Return a line for each expected outcome that was missed."""
    total = report.accounts[ALL_ACCOUNTS]
    complete = total.outcomes.get("complete", 0)
    refused = total.outcomes.get("not_run", 0)
    accepted = max(1, total.drafts - refused)
    operations = report.operations
    checks = [
        ("drafts_complete", complete / accepted, expectation.drafts_complete, False),
        ("refused", refused / max(1, total.drafts), expectation.refused, True),
        ("doubled", operations.doubled, expectation.doubled, True),
        ("lost", operations.lost, expectation.lost, True),
        ("untrue", operations.untrue, expectation.untrue, True),
        ("first_token_p95_ms", total.first_token_ms.p95, expectation.first_token_p95_ms, True),
        ("gap_p95_ms", total.gap_ms.p95, expectation.gap_p95_ms, True),
    ]
    misses = [
        f"{name}: {actual:.4g}, expected {'at most' if at_most else 'at least'} {expected:.4g}"
        for name, actual, expected, at_most in checks
        if expected is not None and (actual > expected if at_most else actual < expected)
    ]
    misses += _account_misses(report, expectation)
    wrong = total.outcomes.get("wrong", 0)
    return [*misses, f"wrong answers: {wrong}"] if wrong else misses


def _account_misses(report, expectation):
    misses = []
    for key, expected in expectation.accounts_complete.items():
        account = report.accounts.get(key)
        complete = account.outcomes.get("complete", 0) / account.drafts if account else 0.0
        if complete < expected:
            misses.append(f"{key} complete: {complete:.4g}, expected at least {expected:.4g}")
    return misses


def table_rows(report):
    """Return one table row, as a dict, per account."""
    return [
        {
            "account": name,
            "drafts": account.drafts,
            "complete": account.outcomes.get("complete", 0),
            "refused": account.outcomes.get("not_run", 0),
            "other": account.drafts
            - account.outcomes.get("complete", 0)
            - account.outcomes.get("not_run", 0),
            "first_p50": account.first_token_ms.p50,
            "first_p95": account.first_token_ms.p95,
            "first_p99": account.first_token_ms.p99,
            "gap_p50": account.gap_ms.p50,
            "gap_p95": account.gap_ms.p95,
            "gap_p99": account.gap_ms.p99,
        }
        for name, account in report.accounts.items()
    ]


def plot(path, drafts):
    """Plot the cumulative distributions of first-token times and gaps to an SVG or PNG file."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(10, 4))
    by_key = defaultdict(list)
    for result in drafts:
        by_key[result.key.partition(".")[0]].append(result)
    for key, results in sorted(by_key.items()):
        first = sorted(r.first_token_ms for r in results if r.first_token_ms is not None)
        gaps = sorted(gap for r in results for gap in r.gaps_ms)
        for axes, values in ((left, first), (right, gaps)):
            shares = [(index + 1) / len(values) for index in range(len(values))]
            axes.plot(values, shares, label=key)
    left.set(xlabel="first token after (ms)", ylabel="share", xscale="log", ylim=(0, 1.01))
    right.set(xlabel="time between tokens (ms)", ylim=(0, 1.01), xscale="log")
    left.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
