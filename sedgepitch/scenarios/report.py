"""Text reports of scenario results."""

from __future__ import annotations

from typing import Any

from sedgepitch.audit.record_index import RecordIndex, RoleHistory


def reads_by_side(records: list[dict[str, Any]]) -> dict[str, dict[str, int]]:
    """Count the served reads of each class, at the server that was primary at that time and at replicas."""
    index = RecordIndex(records)
    roles = RoleHistory(index)
    counts: dict[str, dict[str, int]] = {}
    for rid, ask in index.asked.items():
        answer = next((a for a in index.answers.get(rid, []) if a["verdict"] == "served"), None)
        if ask["w"] or answer is None or answer.get("m") is None:
            continue
        side = "primary" if roles.primary(0, answer["t"]) == answer["m"] else "replicas"
        row = counts.setdefault(ask["cls"], {"primary": 0, "replicas": 0})
        row[side] += 1
    return counts


def table(result: dict[str, Any]) -> str:
    """Return the text report of a fault scenario."""
    lines = [
        f"{result['requests']} requests in {result['length_s']:g} s, {result['drivers']} drivers, "
        f"{result['members']} members, seed {result['seed']}",
        "",
        f"{'rule':32}{'checked':>9}{'broken':>8}",
    ]
    for rule in result["rules"]:
        name = f"{rule['rule']}. {rule['name']}"
        verdict = "kept" if not rule["broken"] else "BROKEN"
        lines.append(f"{name:32}{rule['checked']:>9}{rule['broken']:>8}  {verdict}")
        lines += [f"     {text}" for text in rule["told"][:5]]
    heads = (
        "class",
        "asked",
        "in time",
        "late",
        "refused",
        "failed",
        "left/lost",
        "p50 ms",
        "p99 ms",
        "at replicas",
    )
    columns: list[str] = list(heads[1:])
    lines += ["", f"{heads[0]:14}" + "".join(f"{name:>12}" for name in columns)]
    for name, row in result["classes"].items():
        sides = result["reads"].get(name)
        share = f"{sides['replicas'] / max(1, sum(sides.values())):.0%}" if sides else "-"
        figures = [row[k] for k in ("asked", "in_time", "late", "refused", "failed", "other")]
        times = ["-" if row[k] is None else f"{row[k]:.1f}" for k in ("p50_ms", "p99_ms")]
        lines.append(f"{name:14}" + "".join(f"{value!s:>12}" for value in [*figures, *times, share]))
    lines.append("")
    for who, row in sorted(result["delays"].items()):
        more = ", ".join(
            f"{row[k]:g} {k}" for k in ("too_slow", "hurried", "overdue", "faults") if row.get(k)
        )
        text = (
            f"{who} were at most {row['longest'] * 1000:.0f} ms late, {row['mean'] * 1000:.2f} ms in the mean"
        )
        lines.append(text + (f"; {more}" if more else ""))
    return "\n".join(lines)


def fleet_table(result: dict[str, Any]) -> str:
    """Return the text report of a fleet scenario."""
    heads = ("trouble", "zone", "at s", "left by", "first s", "last s", "95% away s", "in vain", "back s")
    widths = (10, 10, 7, 8, 9, 9, 11, 8, 8)
    lines = [
        table(result),
        "",
        "".join(f"{h:>{w}}" for h, w in zip(heads, widths, strict=True))
        + "   worth in time: before, during, after",
    ]
    for row in result["zones"]:
        cells = (
            row["do"], row["zone"], row["at"], row["left"], row["first_left_s"], row["last_left_s"],
            row["in_vain_95_s"], row["sent_in_vain"], row["back_last_s"],
        )  # fmt: skip
        text = "".join(f"{'-' if c is None else c:>{w}}" for c, w in zip(cells, widths, strict=True))
        lines.append(
            f"{text}   {row['worth_before']:.3f}, {row['worth_during']:.3f}, {row['worth_after']:.3f}"
        )
    return "\n".join(lines)
