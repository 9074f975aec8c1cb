#include "sequoiausher/coordination/gateway/trafficshare.h"

#include "sequoiausher/coordination/gateway/connectionshare.h"

#include <doctest/doctest.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <numeric>
#include <random>
#include <vector>

using namespace Sequoiausher;

namespace {

/** Gateways that learn of each other's requests in flight some rounds late. */
class Fleet
{
public:
    Fleet(std::size_t gateways, std::size_t roundsLate)
        : shares(gateways)
        , reported(roundsLate, std::vector<double>(gateways))
    {
    }

    void round(const std::vector<double> &inFlight)
    {
        const std::vector<double> &old = this->reported.front();
        const double others = std::accumulate(old.begin(), old.end(), 0.0);
        for (std::size_t i = 0; i < this->shares.size(); ++i) {
            this->shares[i].recordRound(inFlight[i], others - old[i]);
        }
        this->reported.pop_front();
        this->reported.push_back(inFlight);
    }
    std::size_t connections(std::size_t gateway, std::size_t limit) const
    {
        return computeConnectionShare(limit, this->shares.size(), this->shares[gateway].of(this->shares.size()));
    }
    std::size_t allConnections(std::size_t limit) const
    {
        std::size_t all = 0;
        for (std::size_t i = 0; i < this->shares.size(); ++i) {
            all += this->connections(i, limit);
        }
        return all;
    }

private:
    std::vector<TrafficShare> shares;
    std::deque<std::vector<double>> reported;
};

constexpr std::size_t limit = 360;
/** The time within which callers must be served as before, in rounds of reports. */
constexpr int roundsOfContactWindow = 10;

} // namespace

TEST_CASE("without traffic all gateways have the same share")
{
    TrafficShare share;
    CHECK(share.of(4) == 0.25);
    CHECK(share.of(0) == 1);
    for (int i = 0; i < 20; ++i) {
        share.recordRound(3, 9);
    }
    CHECK(share.of(7) == doctest::Approx(0.25));
}

// Guards against refusing callers for want of connections while most of them come through one gateway.
TEST_CASE("a gateway that carries most of the traffic may open most of the connections within seconds")
{
    for (const std::size_t gateways : {1, 2, 7, 40, 300}) {
        CAPTURE(gateways);
        Fleet fleet(gateways, gateways > 10 ? 3 : 1);
        std::vector<double> inFlight(gateways, 2);
        for (int round = 0; round < 30; ++round) {
            fleet.round(inFlight);
        }
        for (std::size_t crowded = 0; crowded < std::min<std::size_t>(gateways, 3); ++crowded) {
            inFlight.assign(gateways, 0.1);
            inFlight[crowded] = 2.0 * static_cast<double>(gateways);
            for (int round = 0; round < roundsOfContactWindow; ++round) {
                fleet.round(inFlight);
                CHECK(fleet.allConnections(limit) <= std::max(limit, gateways));
            }
            // In a large fleet most of the limit is one connection for each gateway.
            CHECK(fleet.connections(crowded, limit) >= (gateways < 100 ? limit * 2 / 5 : 20));
        }
    }
}

TEST_CASE("the gateways' shares of a limit add up to no more than the limit while traffic moves at random")
{
    std::mt19937_64 random(1);
    for (const std::size_t gateways : {2, 7, 40, 300}) {
        CAPTURE(gateways);
        Fleet fleet(gateways, 1);
        std::vector<double> inFlight(gateways, 5);
        std::uniform_real_distribution<double> change(0.7, 1.3);
        for (int round = 0; round < 300; ++round) {
            for (double &own : inFlight) {
                own *= change(random);
            }
            fleet.round(inFlight);
            CHECK(fleet.allConnections(limit) <= std::max(limit, gateways));
        }
    }
}
