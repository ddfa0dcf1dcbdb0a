"""Steps for the choice of the side that watches."""

from __future__ import annotations

from behave import given, then

from sardinetrack.views.choice import ranked_neighbours


@given('sides in {first}, {second} and {third}, and {entries:d} entries')
def sides(context, first, second, third, entries):
    context.entries = entries
    context.domains = {
        f'10.0.{where}.{one}': domain
        for where, domain in enumerate((first, second, third))
        for one in range(8)
    }


def _first(context, domain):
    ranked = ranked_neighbours(domain, context.entries, context.domains)
    assert sorted(ranked) == sorted(context.domains)
    return ranked[0]


@then('each entry of a domain prefers the same side of that domain')
def same_in_domain(context):
    for domain in set(context.domains.values()):
        first = _first(context, domain)
        assert context.domains[first] == domain
        assert first == _first(context, domain)


@then('all entries prefer the same side')
def same_for_all(context):
    domains = set(context.domains.values())
    assert len({_first(context, domain) for domain in domains}) == 1


@then('an entry in {domain} prefers some side')
def some_side(context, domain):
    assert _first(context, domain) in context.domains
