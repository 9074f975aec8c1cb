#include "sequoiausher/coordination/gateway/coldtargetlimit.h"

#include "sequoiausher/base/hashing.h"

#include <doctest/doctest.h>

#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace Sequoiausher;

namespace {

const PoolId engines{"llm"};
/** What a cold target bears a second, and the limit of the rule, which it must not exceed in any second. */
constexpr std::uint32_t bearable = 14;
constexpr std::uint32_t ruleLimit = 26;
constexpr Millis second{1000};
/** Longer than a gateway waits after its first report until it uses its share. */
constexpr Millis settled{10000};

InstanceId gatewayName(std::size_t i)
{
    return InstanceId{"10.0.0." + std::to_string(i) + ":7000"};
}

/** A gateway with its directory and the times of its sends to one target. */
struct Gateway
{
    Gateway(std::size_t own, ColdTargetUse use)
        : directory(gatewayName(own), {gatewayName(0), gatewayName(1)}, own)
        , limit(directory, use)
    {
        this->limit.setServiceLimits({{engines, bearable}});
    }

    void hear(const std::vector<std::size_t> &others, Millis now)
    {
        for (const std::size_t other : others) {
            GatewayReport report;
            report.sentAt = now;
            this->directory.recordReport(gatewayName(other), report, now);
        }
    }

    /** Sends a request if the share allows it. */
    bool send(std::uint64_t target, Millis now)
    {
        while (!this->sent.empty() && this->sent.front() <= now - second) {
            this->sent.pop_front();
        }
        if (this->sent.size() >= this->limit.requestsPerSecond(engines, target, now)) {
            return false;
        }
        this->sent.push_back(now);
        return true;
    }

    PeerDirectory directory;
    SharedColdTargetLimit limit;
    std::deque<Millis> sent;
};

using Fleet = std::vector<std::unique_ptr<Gateway>>;

Fleet makeFleet(std::size_t count, ColdTargetUse use = ColdTargetUse::Share)
{
    Fleet fleet;
    std::vector<std::size_t> all;
    for (std::size_t i = 0; i < count; ++i) {
        fleet.push_back(std::make_unique<Gateway>(i, use));
        all.push_back(i);
    }
    for (std::size_t i = 0; i < count; ++i) {
        std::vector<std::size_t> others = all;
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(i));
        fleet[i]->hear(others, Millis{0});
    }
    return fleet;
}

std::uint32_t sumOfShares(const Fleet &fleet, std::uint64_t target, Millis now)
{
    std::uint32_t sum = 0;
    for (const auto &gateway : fleet) {
        sum += gateway->limit.requestsPerSecond(engines, target, now);
    }
    return sum;
}

/** The most requests that reach the target in any second, if all gateways send whenever they may. */
std::size_t busiestSecond(const Fleet &fleet, std::uint64_t target, Millis from, Millis to)
{
    std::mt19937_64 random(target);
    std::deque<Millis> arrivals;
    std::size_t most = 0;
    for (Millis now = from; now < to; now = now + Millis{1}) {
        for (int tries = 0; tries < 4; ++tries) {
            if (fleet[random() % fleet.size()]->send(target, now)) {
                arrivals.push_back(now);
            }
        }
        while (!arrivals.empty() && arrivals.front() <= now - second) {
            arrivals.pop_front();
        }
        most = std::max(most, arrivals.size());
    }
    return most;
}

} // namespace

TEST_CASE("the shares of all gateways add up to what the target bears, whatever the size of the fleet")
{
    for (const std::size_t count : {1, 2, 7, 13, 14, 15, 30, 86, 300}) {
        const Fleet fleet = makeFleet(count);
        for (std::uint64_t target = 1; target <= 20; ++target) {
            CHECK(sumOfShares(fleet, hash64(std::to_string(target)), settled) == (count > 1 ? bearable : 0));
        }
    }
    // A gateway without any other has the whole limit.
    const PeerDirectory alone(gatewayName(0), {}, 1);
    SharedColdTargetLimit limit(alone, ColdTargetUse::Share);
    limit.setServiceLimits({{engines, bearable}});
    CHECK(limit.requestsPerSecond(engines, 1, settled) == bearable);
}

TEST_CASE("every gateway gets its turn at some of the targets")
{
    const Fleet fleet = makeFleet(86);
    for (const auto &gateway : fleet) {
        std::uint32_t sum = 0;
        for (std::uint64_t target = 1; target <= 90; ++target) {
            sum += gateway->limit.requestsPerSecond(engines, hash64(std::to_string(target)), settled);
        }
        CHECK(sum > 0);
        CHECK(sum < 45);
    }
}

// Guards against a surge at a target that has just come back: each of 86 gateways sees a free target and sends a
// request before the first report of the others' requests.
TEST_CASE("no second brings more than a cold target bears while callers press")
{
    for (const std::size_t count : {3, 86, 300}) {
        CHECK(busiestSecond(makeFleet(count), 7, settled, settled + Millis{3000}) <= bearable);
    }
    // The naive fleet, which knows nothing of cold targets.
    CHECK(busiestSecond(makeFleet(86, ColdTargetUse::Unlimited), 7, settled, settled + Millis{3000}) > ruleLimit);
}

// Guards against shares that grow where a fleet splits: each half would take the other one for gone, and both would
// send the whole limit.
TEST_CASE("shares stay as they are in a fleet that splits")
{
    const Fleet fleet = makeFleet(86);
    for (std::int64_t at = 300; at <= 50000; at += 300) {
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            std::vector<std::size_t> half;
            for (std::size_t other = i % 2; other < fleet.size(); other += 2) {
                if (other != i) {
                    half.push_back(other);
                }
            }
            fleet[i]->hear(half, Millis{at});
        }
        if (at % 9000 == 0) {
            CHECK(sumOfShares(fleet, 7, Millis{at}) == bearable);
        }
    }
}

// Guards against a restart of many gateways: each knows only the seeds at first, and would count itself among the
// first ones for every target.
TEST_CASE("a gateway that has just started sends nothing to cold targets until it knows the others")
{
    Fleet fleet = makeFleet(86);
    for (std::size_t i = 40; i < fleet.size(); ++i) {
        fleet[i] = std::make_unique<Gateway>(i, ColdTargetUse::Share);
        CHECK(fleet[i]->limit.requestsPerSecond(engines, 7, settled) == 0);
        fleet[i]->hear({0, 1}, settled);
        CHECK(fleet[i]->limit.requestsPerSecond(engines, 7, settled + Millis{900}) == 0);
    }
    CHECK(sumOfShares(fleet, 7, settled + Millis{900}) <= bearable);
}

// The figure that the comment of the header states: gateways that each lack d others add at most d requests a second.
TEST_CASE("gateways that lack a few others exceed the limit by no more than these")
{
    constexpr std::size_t lacking = 10;
    std::mt19937_64 random(3);
    Fleet fleet;
    for (std::size_t i = 0; i < 86; ++i) {
        fleet.push_back(std::make_unique<Gateway>(i, ColdTargetUse::Share));
        std::vector<std::size_t> others;
        for (std::size_t other = 0; other < 86; ++other) {
            if (other != i && !(other >= 2 && other < 2 + lacking)) {
                others.push_back(other);
            }
        }
        fleet.back()->hear(others, Millis{0});
    }
    for (std::uint64_t target = 1; target <= 50; ++target) {
        CHECK(sumOfShares(fleet, hash64(std::to_string(target)), settled) <= ruleLimit);
    }
}

TEST_CASE("services without a limit are not limited, and neither is any where the limit is switched off")
{
    const Fleet fleet = makeFleet(7);
    CHECK(fleet[0]->limit.requestsPerSecond(PoolId{"desk"}, 7, settled) == ColdTargetLimit::unlimited);
    fleet[0]->limit.setUse(ColdTargetUse::Unlimited);
    CHECK(fleet[0]->limit.requestsPerSecond(engines, 7, settled) == ColdTargetLimit::unlimited);
    CHECK_FALSE(fleet[0]->limit.isLastResort());
    fleet[0]->limit.setUse(ColdTargetUse::LastResort);
    CHECK(fleet[0]->limit.isLastResort());
    CHECK(fleet[0]->limit.requestsPerSecond(engines, 7, settled) == 2);
}
