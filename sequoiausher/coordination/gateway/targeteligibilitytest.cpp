#include "sequoiausher/coordination/gateway/targeteligibility.h"

#include <doctest/doctest.h>

#include <functional>

using namespace Sequoiausher;

namespace {

constexpr Millis now{1000};

TargetState soundTarget()
{
    TargetState state;
    state.target.id = TargetId{"i-1"};
    return state;
}

/** One fact about a target that speaks against it. */
struct Fact
{
    Ineligibility reason;
    std::function<void(TargetState &, EligibilityCriteria &)> apply;
};

/** A limit that allows one request a second. */
class OnePerSecond : public ColdTargetLimit
{
public:
    std::uint32_t requestsPerSecond(const PoolId & /*service*/, std::uint64_t /*targetHash*/, Millis /*now*/) override
    {
        return 1;
    }
    bool isLastResort() const override
    {
        return false;
    }
};

OnePerSecond onePerSecond;

/** In the order of Ineligibility. */
std::vector<Fact> allFacts()
{
    return {
        {Ineligibility::Unlisted, [](TargetState &state, EligibilityCriteria &) { state.isListed = false; }},
        {Ineligibility::Leaving, [](TargetState &state, EligibilityCriteria &) { state.target.isLeaving = true; }},
        {Ineligibility::Leaving, [](TargetState &state, EligibilityCriteria &) { state.hasAnnouncedLeaving = true; }},
        {Ineligibility::Evacuated, [](TargetState &state, EligibilityCriteria &) { state.isEvacuated = true; }},
        {Ineligibility::Region,
         [](TargetState &state, EligibilityCriteria &criteria) {
             state.region = RegionId{"west"};
             criteria.allowedRegions = {{RegionId{"north"}}};
         }},
        {Ineligibility::Version, [](TargetState &, EligibilityCriteria &criteria) { criteria.softwareVersion = "v2"; }},
        {Ineligibility::Tried,
         [](TargetState &state, EligibilityCriteria &criteria) { criteria.excluded = {state.target.id}; }},
        {Ineligibility::Backoff,
         [](TargetState &state, EligibilityCriteria &) { state.backoffUntil = now + Millis{1}; }},
        {Ineligibility::Cold,
         [](TargetState &state, EligibilityCriteria &criteria) {
             criteria.coldLimit = &onePerSecond;
             state.coldUntil = now + Millis{1};
             state.recentSends = {now - Millis{999}};
         }},
        {Ineligibility::Failing,
         [](TargetState &state, EligibilityCriteria &) {
             for (int i = 0; i < 3; ++i) {
                 state.health.recordFailure(now, FailureWeight::Heavy);
             }
         }},
        {Ineligibility::Full, [](TargetState &state, EligibilityCriteria &) { state.fullUntil = now + Millis{1}; }},
    };
}

} // namespace

TEST_CASE("a target without any reason against it is eligible")
{
    CHECK_FALSE(findIneligibility(soundTarget(), {}, now));
    CHECK_FALSE(findLastingIneligibility(soundTarget()));
}

TEST_CASE("each fact is a reason, and the strongest of several is given")
{
    const std::vector<Fact> facts = allFacts();
    for (std::size_t weaker = 0; weaker < facts.size(); ++weaker) {
        for (std::size_t stronger = 0; stronger <= weaker; ++stronger) {
            TargetState state = soundTarget();
            EligibilityCriteria criteria;
            facts[weaker].apply(state, criteria);
            facts[stronger].apply(state, criteria);
            CHECK(findIneligibility(state, criteria, now) == facts[stronger].reason);
        }
    }
}

TEST_CASE("only doubts about a target's health may be disregarded, and other reasons do not hide them")
{
    for (const Fact &fact : allFacts()) {
        TargetState state = soundTarget();
        EligibilityCriteria criteria;
        fact.apply(state, criteria);
        const bool isDoubt = fact.reason == Ineligibility::Failing || fact.reason == Ineligibility::Full;
        CHECK(isDisregardable(fact.reason) == isDoubt);
        CHECK(isDoubtful(state, now) == isDoubt);
        state.fullUntil = now + Millis{1};
        CHECK(isDoubtful(state, now));
    }
}

TEST_CASE("a target is asked for its software version only where one is required")
{
    TargetState state = soundTarget();
    for (const char *version : {"v1", "v1.1", ""}) {
        state.target.softwareVersion = version;
        EligibilityCriteria criteria;
        CHECK_FALSE(findIneligibility(state, criteria, now));
        criteria.softwareVersion = version;
        CHECK_FALSE(findIneligibility(state, criteria, now));
        criteria.softwareVersion = "another";
        CHECK(findIneligibility(state, criteria, now) == Ineligibility::Version);
    }
}

TEST_CASE("a cold target gets its share in each second, and a warm one is not limited")
{
    TargetState state = soundTarget();
    const EligibilityCriteria criteria{{}, {}, &onePerSecond};
    state.coldUntil = now + Millis{500};
    CHECK_FALSE(findIneligibility(state, criteria, now));
    state.recentSends = {now};
    CHECK(findIneligibility(state, criteria, now + Millis{499}) == Ineligibility::Cold);
    CHECK_FALSE(findIneligibility(state, criteria, now + Millis{500}));
    state.coldUntil = now + Millis{5000};
    CHECK(findIneligibility(state, criteria, now + Millis{999}) == Ineligibility::Cold);
    CHECK_FALSE(findIneligibility(state, criteria, now + Millis{1000}));
}

TEST_CASE("counts are written in the order of the reasons")
{
    IneligibilityCounts counts;
    CHECK(counts.text().empty());
    counts.add(Ineligibility::Full);
    counts.add(Ineligibility::Leaving);
    counts.add(Ineligibility::Leaving);
    CHECK(counts.count(Ineligibility::Leaving) == 2);
    CHECK(counts.text() == "leaving:2 full:1");
}
