#include "sequoiausher/coordination/membership/demandtable.h"

#include "sequoiausher/coordination/limits/ratelimit.h"

#include <doctest/doctest.h>

#include <memory>

using namespace Sequoiausher;

namespace {

constexpr std::size_t routers = 7;
const OrganisationId large{"large"};

/** Routers with a limiter and a table each. Reports arrive at once; gossip goes to one other router each second. */
struct Fleet
{
    Fleet()
    {
        for (std::size_t i = 0; i < routers; ++i) {
            this->names.push_back(InstanceId{"router-" + std::to_string(i)});
            this->tables.push_back(std::make_unique<DemandTable>(this->names.back()));
            this->limiters[i].setLimits(large, OrganisationLimits{70, 2, {}});
            this->limiters[i].setLiveRouters(routers);
        }
    }

    void exchange(Millis now)
    {
        for (std::size_t i = 0; i < routers; ++i) {
            this->tables[i]->setOwn(this->limiters[i].collectReports(now));
            for (const DemandReport &report : this->tables[i]->takeDueReports(now, [this] { return this->names; })) {
                for (std::size_t to = 0; to < routers; ++to) {
                    if (this->names[to] == report.collector) {
                        this->tables[to]->addReport(now, this->names[i], report.demands);
                    }
                }
            }
            const std::size_t next = (i + 1 + static_cast<std::size_t>(now.count / 1000) % (routers - 1)) % routers;
            this->tables[next]->merge(now, this->tables[i]->takeNews(now, 8));
            for (const OrganisationDemand &total : this->tables[i]->totals(now)) {
                this->limiters[i].setFleetDemand(now - total.age, total);
            }
        }
    }

    std::vector<InstanceId> names;
    std::vector<std::unique_ptr<DemandTable>> tables;
    std::array<RateLimiter, routers> limiters;
};

/** Sends perSecond requests at each router for a minute and returns the allowed share of the second half. */
double allowedShare(const std::array<int, routers> &perSecond, bool exchanges)
{
    Fleet fleet;
    int asked = 0;
    int allowed = 0;
    for (std::int64_t second = 1; second <= 60; ++second) {
        for (int part = 0; part < 1000; ++part) {
            const Millis now{second * 1000 + part};
            for (std::size_t i = 0; i < routers; ++i) {
                if (perSecond[i] > 0 && part % (1000 / perSecond[i]) == 0) {
                    const bool passed = fleet.limiters[i].take(now, large, RequestClass::Interactive, 1).allowed;
                    asked += second > 30 ? 1 : 0;
                    allowed += second > 30 && passed ? 1 : 0;
                }
            }
        }
        if (exchanges) {
            fleet.exchange(Millis{second * 1000 + 999});
        }
    }
    return static_cast<double>(allowed) / asked;
}

} // namespace

// Guards against refusing an organisation that is at 80 % of its limit. Its callers keep their connections, so two of
// seven routers see nearly all of its traffic, while each router allows only an even share of the limit.
TEST_CASE("uneven traffic below the limit is not refused once demands are known")
{
    const std::array<int, routers> uneven{25, 20, 2, 2, 2, 2, 2};
    CHECK(allowedShare(uneven, false) < 0.65);
    CHECK(allowedShare(uneven, true) > 0.99);
}

TEST_CASE("the limit still holds for the fleet when demand is above it")
{
    // 140 requests a second against a limit of 70.
    const std::array<int, routers> above{100, 20, 4, 4, 4, 4, 4};
    const double share = allowedShare(above, true);
    CHECK(share > 0.45);
    CHECK(share < 0.56);
}

// Guards against exceeding a limit several times over at the start of a surge. Ten times the demand arrives at all
// routers at once, and each router compares its new demand with the old fleet total.
TEST_CASE("a surge that begins at all routers at once is held to the limit while the totals are old")
{
    Fleet fleet;
    int allowed = 0;
    for (std::int64_t second = 1; second <= 26; ++second) {
        const int step = second <= 20 ? 500 : 20;
        for (int part = 0; part < 1000; part += step) {
            const Millis now{second * 1000 + part};
            for (RateLimiter &limiter : fleet.limiters) {
                const bool passed = limiter.take(now, large, RequestClass::Interactive, 1).allowed;
                allowed += second > 20 && passed ? 1 : 0;
            }
        }
        fleet.exchange(Millis{second * 1000 + 999});
    }
    // Six seconds at 70, two seconds' worth of saved tokens, and a tenth on top.
    CHECK(allowed <= 70 * 6 + 70 * 2 + 42);
    CHECK(allowed >= 70 * 5);
}

// Guards against exceeding a limit for seconds after a router dies. The collector dies, and its successor publishes the
// sum of the few reports that it has so far as the fleet's demand.
TEST_CASE("a new collector publishes no total before every router had time to report")
{
    DemandTable table(InstanceId{"alone"});
    const auto live = [] { return std::vector<InstanceId>{InstanceId{"alone"}}; };
    table.setOwn({OrganisationDemand{large, 5, {}}});
    table.takeDueReports(Millis{1000}, live);
    CHECK(table.totals(Millis{1000}).empty());
    table.takeDueReports(Millis{2000}, live);
    CHECK(table.totals(Millis{2000}).empty());
    table.takeDueReports(Millis{3000}, live);
    table.takeDueReports(Millis{4000}, live);
    REQUIRE(table.totals(Millis{4000}).size() == 1);
    CHECK(table.totals(Millis{4000})[0].perSecond == 5);
}

TEST_CASE("messages are bounded, the younger total is kept, and every total is sent in turn")
{
    DemandTable table(InstanceId{"a"});
    std::vector<OrganisationDemand> many;
    for (int i = 0; i < 40; ++i) {
        many.push_back(OrganisationDemand{OrganisationId{"o" + std::to_string(i)}, 1.0 * i, Millis{500}});
    }
    table.merge(Millis{10000}, many);
    table.merge(Millis{10000}, {OrganisationDemand{OrganisationId{"o1"}, 99, Millis{5000}}});
    std::size_t seen = 0;
    for (int i = 0; i < 5; ++i) {
        const std::vector<OrganisationDemand> news = table.takeNews(Millis{10000}, 8);
        CHECK(news.size() == 8);
        for (const OrganisationDemand &each : news) {
            seen += 1;
            CHECK(each.perSecond < 40);
        }
    }
    CHECK(seen == 40);
    table.setOwn(many);
    const std::vector<DemandReport> reports
        = table.takeDueReports(Millis{11000}, [] { return std::vector<InstanceId>{InstanceId{"b"}}; });
    REQUIRE(reports.size() == 1);
    CHECK(reports[0].demands.size() == demandsPerReport);
    CHECK(reports[0].demands[0].perSecond == 39);
    CHECK(demandInterval(7) == Millis{1000});
    CHECK(demandInterval(1300) == Millis{13000});
}
