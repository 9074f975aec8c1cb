#include "sequoiausher/transport/gateway/targetlifechecks.h"

#include "sequoiausher/transport/http/testloop.h"
#include "sequoiausher/transport/stream/fakehttp.h"
#include "sequoiausher/transport/stream/streamlistener.h"

#include <doctest/doctest.h>

#include <unistd.h>

using namespace Sequoiausher;

namespace {

struct Heard : TargetLifeUser
{
    void targetEnded(const TargetId &target) override
    {
        this->ended.push_back(target);
    }
    void targetLives(const TargetId &target) override
    {
        this->lives.push_back(target);
    }
    bool waitFor(std::size_t count) const
    {
        return Internal::runUntil([this, count] { return this->ended.size() + this->lives.size() >= count; }, 2000);
    }

    std::vector<TargetId> ended;
    std::vector<TargetId> lives;
};

/** What dials need, for a gateway that knows no other one. */
struct Alone
{
    TargetReachability reachability;
    PeerDirectory directory{InstanceId{"127.0.0.1:1"}, {}, 1};
    TunnelPeers tunnels{directory, DataCentreId{"a"}};
    GatewaySettings settings;
    Metrics metrics;
    std::mt19937_64 random;
    DialEnvironment environment{reachability, tunnels, settings, metrics, random};
};

GatewayTarget targetAt(const std::string &name, const std::string &address)
{
    GatewayTarget target;
    target.id.value = name;
    target.address = address;
    return target;
}

} // namespace

TEST_CASE("a target that listens lives, one that refuses connections has ended")
{
    Internal::testApplication();
    Heard heard;
    Alone alone;
    TargetLifeChecks checks(heard, alone.environment);
    const FakeServer server;
    const GatewayTarget there = targetAt("there", server.address());
    const GatewayTarget gone = targetAt("gone", FakeServer().address());
    for (int i = 0; i < 3; ++i) {
        checks.begin(there, Millis{0});
        checks.begin(gone, Millis{0});
    }
    REQUIRE(heard.waitFor(2));
    CHECK(heard.lives == std::vector{there.id});
    CHECK(heard.ended == std::vector{gone.id});
    checks.tick(Millis{10});
    checks.begin(gone, Millis{20});
    CHECK(heard.waitFor(3));
}

TEST_CASE("a check that takes too long is given up without a verdict")
{
    Internal::testApplication();
    Heard heard;
    Alone alone;
    TargetLifeChecks checks(heard, alone.environment);
    const FakeServer server;
    const GatewayTarget there = targetAt("there", server.address());
    checks.begin(there, Millis{0});
    checks.tick(Millis{5000});
    CHECK_FALSE(Internal::runUntil([&heard] { return !heard.lives.empty() || !heard.ended.empty(); }, 100));
}

// Guards against a second verdict, which was given on a check that was over: a gateway then stood still for good.
TEST_CASE("a target that accepts a connection and closes it at once lives, and is told once")
{
    Internal::testApplication();
    Heard heard;
    Alone alone;
    TargetLifeChecks checks(heard, alone.environment);
    const StreamListener listener("127.0.0.1:0", [](int descriptor) { ::close(descriptor); });
    const GatewayTarget target = targetAt("closing", "127.0.0.1:" + std::to_string(listener.port()));
    checks.begin(target, Millis{0});
    REQUIRE(heard.waitFor(1));
    Internal::runFor(100);
    CHECK(heard.lives == std::vector{target.id});
    CHECK(heard.ended.empty());
}
