#include "sequoiausher/coordination/gateway/brittletargetlimit.h"

#include "sequoiausher/base/hashing.h"
#include "sequoiausher/coordination/gateway/targetboard.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <vector>

using namespace Sequoiausher;

namespace {

const PoolId desk{"desk"};

InstanceId gatewayName(std::size_t number)
{
    return InstanceId{"10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250) + ":1"};
}

/** Gateways that send many more requests than their targets have room for. Reports and rejections take their time. */
class OverloadedFleet
{
public:
    static constexpr std::uint32_t rejectionsBorne = 12;
    static constexpr std::uint32_t slots = 6;
    static constexpr std::uint32_t waiting = 2;

    OverloadedFleet(std::size_t gatewayCount, std::size_t targetCount, bool isLimited) : limited(isLimited)
    {
        for (std::size_t i = 0; i < targetCount; ++i) {
            GatewayTarget target;
            target.id.value = "t" + std::to_string(i);
            target.service = desk;
            target.slots = slots;
            this->listed.push_back(target);
        }
        this->targets.resize(targetCount);
        this->isAlone = gatewayCount == 1;
        for (std::size_t i = 0; i < gatewayCount; ++i) {
            this->start(i, Millis{0});
        }
    }

    /** @param perSecond requests of all callers together. */
    void run(Millis from, Millis until, double perSecond, bool restarts)
    {
        std::exponential_distribution<double> gap(perSecond / 1000);
        double next = static_cast<double>(from.count);
        for (Millis now = from; now < until; now = now + Millis{1}) {
            this->finishRequests(now);
            if (now.count % 300 == 0) {
                this->report(now);
            }
            if (restarts && now.count % 700 == 0) {
                this->start(this->random() % this->gateways.size(), now);
            }
            for (; next <= static_cast<double>(now.count); next += gap(this->random)) {
                this->call(this->random() % this->gateways.size(), now);
            }
        }
    }

    std::size_t served = 0;
    /** The most rejections of one target in any second, once the announcement was there for a while. */
    std::size_t mostRejections = 0;

private:
    struct Gateway
    {
        Gateway(std::size_t number, std::uint64_t seed, bool isAlone)
            : directory(gatewayName(number),
                        isAlone ? std::vector<InstanceId>() : std::vector{gatewayName(number + 1)},
                        seed)
            , limit(directory)
            , board(seed)
        {
        }

        PeerDirectory directory;
        BrittleTargetLimit limit;
        TargetBoard board;
        /** Requests of an earlier life are lost with it. */
        std::uint64_t life = 0;
    };
    struct Running
    {
        std::size_t gateway = 0;
        std::uint64_t life = 0;
        Millis endsAt;
    };
    struct Target
    {
        std::vector<Running> held;
        std::deque<Millis> rejections;
    };
    struct Rejection
    {
        std::size_t gateway = 0;
        std::uint64_t life = 0;
        std::size_t target = 0;
        Millis heardAt;
    };

    void start(std::size_t number, Millis now)
    {
        auto made = std::make_unique<Gateway>(number, this->random(), this->isAlone);
        made->life = ++this->lives;
        made->board.setTargets(this->listed, now);
        if (this->limited) {
            made->board.setBrittleLimit(&made->limit);
        }
        if (number >= this->gateways.size()) {
            this->gateways.resize(number + 1);
        }
        this->gateways[number] = std::move(made);
    }

    void report(Millis now)
    {
        for (std::size_t to = 0; to < this->gateways.size(); ++to) {
            for (std::size_t from = 0; from < this->gateways.size(); ++from) {
                if (from != to) {
                    GatewayReport sent;
                    sent.sentAt = now;
                    this->gateways[to]->directory.recordReport(gatewayName(from), sent, now);
                    this->gateways[to]->board.updatePeerLoads(
                        gatewayName(from), this->gateways[from]->board.ownLoads(now), now);
                }
            }
        }
        for (const auto &gateway : this->gateways) {
            gateway->board.beginRound();
        }
    }

    void call(std::size_t number, Millis now)
    {
        Gateway &gateway = *this->gateways[number];
        TargetCriteria criteria;
        criteria.service = desk;
        criteria.policy = PolicyKind::LeastExpected;
        criteria.requestHash = this->random();
        const auto chosen = gateway.board.choose(criteria, now);
        if (!chosen) {
            return;
        }
        const auto index = static_cast<std::size_t>(std::stoul(chosen->target.id.value.substr(1)));
        Target &target = this->targets[index];
        gateway.board.recordStart(chosen->target.id, now);
        if (target.held.size() < slots + waiting) {
            const Millis begin{std::max(now.count, target.held.size() < slots ? now.count : now.count + 30)};
            target.held.push_back({number, gateway.life, begin + Millis{60}});
            gateway.limit.recordAnnouncement(desk, rejectionsBorne, now);
            return;
        }
        target.rejections.push_back(now);
        while (target.rejections.front() <= now - Millis{1000}) {
            target.rejections.pop_front();
        }
        // Brittle targets say so for a while before they crash.
        if (now >= Millis{6000}) {
            this->mostRejections = std::max(this->mostRejections, target.rejections.size());
        }
        this->unheard.push_back({number, gateway.life, index, now + Millis{4}});
    }

    void finishRequests(Millis now)
    {
        while (!this->unheard.empty() && this->unheard.front().heardAt <= now) {
            const Rejection rejection = this->unheard.front();
            this->unheard.pop_front();
            Gateway &gateway = *this->gateways[rejection.gateway];
            if (gateway.life == rejection.life) {
                gateway.board.recordEnd(this->listed[rejection.target].id, TargetOutcome::Full, now);
                gateway.limit.recordAnnouncement(desk, rejectionsBorne, now);
            }
        }
        for (std::size_t i = 0; i < this->targets.size(); ++i) {
            std::erase_if(this->targets[i].held, [this, i, now](const Running &running) {
                if (running.endsAt > now) {
                    return false;
                }
                Gateway &gateway = *this->gateways[running.gateway];
                if (gateway.life == running.life) {
                    this->served += 1;
                    gateway.board.recordAnswerTime(this->listed[i].id, Millis{60});
                    gateway.board.recordEnd(this->listed[i].id, TargetOutcome::Answered, now);
                }
                return true;
            });
        }
    }

    bool limited;
    bool isAlone = false;
    std::mt19937_64 random{7};
    std::vector<GatewayTarget> listed;
    std::vector<Target> targets;
    std::vector<std::unique_ptr<Gateway>> gateways;
    std::deque<Rejection> unheard;
    std::uint64_t lives = 0;
};

struct FleetCase
{
    std::size_t gateways = 0;
    std::size_t targets = 0;
    bool restarts = false;
};

} // namespace

// Guards against gateways that together make a brittle target reject so much that it crashes.
TEST_CASE("no target has to reject more requests in a second than it bears")
{
    for (const FleetCase &each : {FleetCase{1, 4, false},
                                  FleetCase{7, 4, false},
                                  FleetCase{7, 4, true},
                                  FleetCase{12, 6, true},
                                  FleetCase{40, 6, false},
                                  FleetCase{40, 6, true}}) {
        CAPTURE(each.gateways);
        CAPTURE(each.restarts);
        const double capacity = static_cast<double>(each.targets) * OverloadedFleet::slots / 0.06;
        OverloadedFleet limited(each.gateways, each.targets, true);
        limited.run(Millis{0}, Millis{12000}, 2 * capacity, each.restarts);
        OverloadedFleet unlimited(each.gateways, each.targets, false);
        unlimited.run(Millis{0}, Millis{12000}, 2 * capacity, each.restarts);
        CHECK(limited.mostRejections <= OverloadedFleet::rejectionsBorne);
        CHECK(unlimited.mostRejections > OverloadedFleet::rejectionsBorne);
        if (!each.restarts) {
            CHECK(limited.served * 3 > unlimited.served * 2);
        }
    }
}

TEST_CASE("an announcement holds until an answer without one")
{
    PeerDirectory directory(gatewayName(1), {}, 1);
    BrittleTargetLimit limit(directory);
    const std::uint64_t target = hash64("t");
    CHECK_FALSE(limit.shareOf(desk, target, 6, Millis{1000}));
    limit.recordAnnouncement(desk, 5, Millis{1000});
    CHECK(limit.shareOf(desk, target, 6, Millis{1000}) == BrittleTargetShare{6, 4});
    limit.recordAnnouncement(PoolId{"engines"}, std::nullopt, Millis{1000});
    CHECK_FALSE(limit.shareOf(PoolId{"engines"}, target, 6, Millis{1000}));
    CHECK_FALSE(limit.shareOf(desk, target, 6, Millis{31000}));
    limit.recordAnnouncement(desk, 0, Millis{31000});
    CHECK(limit.shareOf(desk, target, 6, Millis{31000}) == BrittleTargetShare{6, 0});
    limit.recordAnnouncement(desk, std::nullopt, Millis{31500});
    CHECK_FALSE(limit.shareOf(desk, target, 6, Millis{31500}));
}
