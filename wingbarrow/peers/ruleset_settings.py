"""Conversion between settings and rule sets: the rule set that a file requests, and the settings under agreed rules."""

from __future__ import annotations

from dataclasses import replace

from wingbarrow import interface as api
from wingbarrow.config.calendar import Calendar, load_calendar
from wingbarrow.config.settings import PlacerSettings
from wingbarrow.config.subset_settings import module_settings
from wingbarrow.decide.rulesets.agreed_drains import plan_of, series_of, window_of
from wingbarrow.decide.rulesets.parsing import parse_rule_set
from wingbarrow.decide.rulesets.ruleset import ClassRules, RuleSet, equal_shares, normalized


def requested_rule_set(settings: PlacerSettings) -> RuleSet:
    """The rule set that a settings file requests, with its calendars; raises SettingsError for an invalid calendar."""
    calendar = load_calendar(settings.calendars)
    scheduler = settings.scheduler
    agree = settings.agree
    members = (
        (settings.name,)
        if agree is None
        else tuple(each for each in agree.members if each not in agree.members_without_machines)
    )
    classes = tuple(
        ClassRules(
            name=name,
            effect=each.task_class.effect.name.lower(),
            spread_by=each.task_class.spread.name.lower(),
            spread_most=each.task_class.spread_most,
        )
        for name, each in settings.classes.items()
    )
    return normalized(
        RuleSet(
            classes=classes,
            attempts_most=scheduler.attempts_most,
            cold_us=scheduler.cold_us,
            cold_window_us=scheduler.fall_us,
            cold_shares=equal_shares(int(scheduler.fresh_offers), members),
            drain_grace_us=settings.drain_grace_us,
            barred=settings.barred,
            windows=tuple(window_of(each) for each in calendar.series),
            plan=plan_of(calendar.rules, calendar.policy),
            limits=agree.limits if agree is not None else (),
            federation=settings.federation,
        )
    )


def agreed_calendar(rules: RuleSet, kinds_needed: tuple[str, ...]) -> Calendar:
    """The agreed calendar, without requested drains."""
    return Calendar(
        tuple(series_of(each) for each in rules.windows),
        rules.plan.rules(kinds_needed),
        rules.plan.policy(),
    )


def with_current_drains(proposed: RuleSet, in_force: RuleSet) -> RuleSet:
    """A rule set with the requested and cancelled drains of the one in force: settings files contain neither."""
    return replace(proposed, asked=in_force.asked, cancelled=in_force.cancelled)


def agreed_scheduler_settings(
    settings: PlacerSettings, text: str, cold_share: int | None = None
) -> api.Settings:
    """The decision module's settings under an agreed rule set; the send gate holds tasks of classes that it lacks.

    `cold_share`: the placer's current share of the cold budget, if that is a fleet-wide limit.
    """
    rules = parse_rule_set(text)
    scheduler = module_settings(settings)
    agreed_classes = {each.name: each for each in rules.classes}
    under_rules = replace(
        scheduler,
        classes=tuple(
            _class_under(each, agreed_classes.get(each.name)) for each in scheduler.classes
        ),
        attempts_most=rules.attempts_most,
        cold_us=rules.cold_us,
        fall_us=rules.cold_window_us,
        placers=max(1, scheduler.placers),
    )
    if settings.subset is not None and cold_share is None:
        # The placers that hold a machine in their subsets share the total budget of all members.
        return module_settings(
            settings, replace(under_rules, fresh_offers=float(total_cold_offers(rules)))
        )
    share = rules.cold_share(settings.name) if cold_share is None else cold_share
    return replace(under_rules, fresh_offers=float(share * under_rules.placers))


def total_cold_offers(rules: RuleSet) -> int:
    """The number of offers that all members together may send to one cold machine within the window."""
    return sum(share for _, share in rules.cold_shares)


def _class_under(own: api.TaskClass, agreed: ClassRules | None) -> api.TaskClass:
    if agreed is None or agreed.spread_by == "none" or own.spread.name.lower() != agreed.spread_by:
        return own
    return replace(own, spread_most=agreed.spread_most)
