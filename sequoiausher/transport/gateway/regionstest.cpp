#include "sequoiausher/transport/gateway/gatewaytestbed.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

namespace {

/** One plain target in each of three data centres, each in a region of its own. */
struct RegionsBed : GatewayTestbed
{
    explicit RegionsBed(const std::string &restrictions)
    {
        this->publish(configuration() + restrictions);
        this->settings.regions = {{DataCentreId{"a"}, RegionId{"north"}},
                                  {DataCentreId{"b"}, RegionId{"west"}},
                                  {DataCentreId{"c"}, RegionId{"south"}}};
        for (const char *dataCentre : {"a", "b", "c", "unknown"}) {
            FakeServer &target = this->addTarget(dataCentre, "desk", dataCentre);
            target.answers = [](FakeRequest &request) { request.reply("200 OK", "ok"); };
        }
        this->start();
    }

    /** Sends calls on the route /look/. @return the data centres that were reached. */
    std::string reached()
    {
        for (int i = 0; i < 40; ++i) {
            this->lastStatus = this->callAnew().status;
        }
        std::string names;
        for (const auto &[name, target] : this->targets) {
            names += target->seen.empty() ? "" : name + " ";
        }
        return names;
    }

    int lastStatus = 0;
};

} // namespace

TEST_CASE("requests reach targets in the regions of their route and organisation alone")
{
    struct Case
    {
        std::string restrictions;
        std::string reached;
    };
    const Case cases[] = {
        {"", "a b c unknown "},
        {"route-region /look/ north route-region /look/ west", "a b "},
        {"organisation-region west", "b "},
        {"organisation-region west organisation-region south route-region /look/ north route-region /look/ west", "b "},
        {"route-region /talk/ north", "a b c unknown "},
    };
    for (const Case &each : cases) {
        CAPTURE(each.restrictions);
        RegionsBed bed(each.restrictions);
        CHECK(bed.reached() == each.reached);
        CHECK(bed.lastStatus == 200);
    }
}

// Guards against a request that leaves its region on its second way, since no target of its region can take it.
TEST_CASE("a request is refused, not sent elsewhere, if no target of its regions can take it")
{
    RegionsBed bed("route-region /look/ north");
    bed.targets["a"]->answers
        = [](FakeRequest &request) { request.reply("503 Service Unavailable", "", "X-Not-Run: 1\r\n"); };
    CHECK(bed.reached() == "a ");
    CHECK(bed.lastStatus == 503);
}

TEST_CASE("callers are refused at once, and told when to come back, if no target is in an allowed region")
{
    RegionsBed bed("route-region /look/ north organisation-region west");
    const CallerReply reply = bed.callAnew();
    CHECK(reply.status == 503);
    CHECK(reply.head.headers.has("Retry-After"));
    CHECK(reply.body.find("no target is in a region that the request may reach") != std::string::npos);
    CHECK(bed.logged.str().find("region:4") != std::string::npos);
}
