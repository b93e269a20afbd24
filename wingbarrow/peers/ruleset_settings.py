"""Between a placer's settings and the rules that placers agree on: what a file says, and what a placer then goes by."""

from __future__ import annotations

from dataclasses import replace

from wingbarrow import interface as api
from wingbarrow.config.calendar import Calendar, load_calendar
from wingbarrow.config.settings import PlacerSettings
from wingbarrow.config.subsetting import module_settings
from wingbarrow.decide.rulesets.agreed_drains import plan_of, series_of, window_of
from wingbarrow.decide.rulesets.parsing import parse_rule_set
from wingbarrow.decide.rulesets.ruleset import ClassRules, RuleSet, equal_shares, normalized


def rules_of(settings: PlacerSettings) -> RuleSet:
    """The rule set that a file of settings asks for, with its calendars; SettingsError where one cannot be used."""
    calendar = load_calendar(settings.calendars)
    scheduler, agree = settings.scheduler, settings.agree
    members = (
        (settings.name,)
        if agree is None
        else tuple(each for each in agree.members if each not in agree.bare)
    )
    classes = tuple(
        ClassRules(
            name,
            each.task_class.effect.name.lower(),
            each.task_class.spread.name.lower(),
            each.task_class.spread_most,
        )
        for name, each in settings.classes.items()
    )
    return normalized(
        RuleSet(
            classes,
            scheduler.attempts_most,
            scheduler.cold_us,
            scheduler.fall_us,
            equal_shares(int(scheduler.fresh_offers), members),
            settings.drain_grace_us,
            settings.barred,
            windows=tuple(window_of(each) for each in calendar.series),
            plan=plan_of(calendar.rules, calendar.policy),
            limits=agree.limits if agree is not None else (),
            federation=settings.federation,
        )
    )


def calendar_under(rules: RuleSet, kinds_needed: tuple[str, ...]) -> Calendar:
    """The calendar that placers agree on; drains that were asked for stand beside it."""
    return Calendar(
        tuple(series_of(each) for each in rules.windows),
        rules.plan.rules(kinds_needed),
        rules.plan.policy(),
    )


def keeping_drains(wanted: RuleSet, now: RuleSet) -> RuleSet:
    """Other rules with the drains that were asked for, and taken back, as they stand: no file speaks of those."""
    return replace(wanted, asked=now.asked, cancelled=now.cancelled)


def scheduler_under(
    settings: PlacerSettings, text: str, cold_share: int | None = None
) -> api.Settings:
    """What the module is told while a placer acts on rules; classes that they lack are held at the gate.

    `cold_share`: what this placer holds of the cold budget now, where that is a limit of the whole fleet.
    """
    rules, scheduler = parse_rule_set(text), module_settings(settings)
    held = {each.name: each for each in rules.classes}
    classes = tuple(_class(each, held.get(each.name)) for each in scheduler.classes)
    told = replace(
        scheduler,
        classes=classes,
        attempts_most=rules.attempts_most,
        cold_us=rules.cold_us,
        fall_us=rules.cold_window_us,
        placers=max(1, scheduler.placers),
    )
    if settings.subset is not None and cold_share is None:
        # Each machine's own holders share what all members have together.
        return module_settings(settings, replace(told, fresh_offers=float(cold_total(rules))))
    share = rules.cold_share(settings.name) if cold_share is None else cold_share
    return replace(told, fresh_offers=float(share * told.placers))


def cold_total(rules: RuleSet) -> int:
    """Offers to one cold machine within the window, by all members together."""
    return sum(share for _, share in rules.cold_shares)


def _class(mine: api.TaskClass, agreed: ClassRules | None) -> api.TaskClass:
    if agreed is None or agreed.spread_by == "none" or mine.spread.name.lower() != agreed.spread_by:
        return mine
    return replace(mine, spread_most=agreed.spread_most)
