#include "sequoiausher/protocol/settings/gatewaysettings.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

namespace {

const std::string least = "[gateway]\nname = g1\ndata_centre = a\naddress = 10.0.0.1:80\nready_address = 10.0.0.1:81\n"
                          "peer_address = 10.0.0.1:82\n[store]\naddress = 10.0.0.9:90\n";

} // namespace

TEST_CASE("settings have defaults, and a key without a value counts as left out")
{
    const GatewaySettings settings
        = parseGatewaySettings(least
                                   + "[bounds]\nrepeat_ratio =\nkey_freshness_ms = 4000\nrepeat_window_s = 8.5\n"
                                     "cold_targets = last-resort\n"
                                     "[peers]\nseeds = 10.0.0.2:82, 10.0.0.3:82\n[stop]\ngrace_s = 8\n",
                               "g.ini");
    CHECK(settings.repeats.ratio == 0.2);
    CHECK(settings.keyFreshness == Millis{4000});
    CHECK(settings.repeats.window == Millis{8500});
    CHECK(settings.coldTargets == ColdTargetUse::LastResort);
    CHECK(parseGatewaySettings(least, "g.ini").coldTargets == ColdTargetUse::Share);
    CHECK(settings.stop.grace == Millis{8000});
    CHECK(settings.seeds == std::vector{InstanceId{"10.0.0.2:82"}, InstanceId{"10.0.0.3:82"}});
    CHECK(settings.metricsAddress.empty());
    CHECK(settings.regions.empty());
    CHECK(parseGatewaySettings("[gateway]\nregions = a:north, b:west\n" + least.substr(least.find('\n') + 1), "g.ini")
              .regions
          == std::map<DataCentreId, RegionId>{{DataCentreId{"a"}, RegionId{"north"}},
                                              {DataCentreId{"b"}, RegionId{"west"}}});
    for (const char *bad : {"a", ":north", "a:", "a:north, a:west"}) {
        CHECK_THROWS(parseGatewaySettings(
            "[gateway]\nregions = " + std::string(bad) + "\n" + least.substr(least.find('\n') + 1), "g.ini"));
    }
    CHECK(settings.peerListenAddress.empty());
    const std::string forwarded = "peer_address = 10.0.0.1:82\npeer_listen_address = 127.0.0.1:83";
    std::string text = least;
    text.replace(text.find("peer_address = 10.0.0.1:82"), std::string("peer_address = 10.0.0.1:82").size(), forwarded);
    CHECK(parseGatewaySettings(text, "g.ini").peerListenAddress == "127.0.0.1:83");
}

TEST_CASE("every mistake is told with its place")
{
    Problems problems;
    parseGatewaySettings("[gateway]\nname = g1\ndata_centre = a\naddress = x\nready_address = 10.0.0.1:81\n"
                         "peer_address = 10.0.0.1:82\n[store]\naddress = 10.0.0.9:90\n[bounds]\nrepeat_ratio = many\n"
                         "cold_targets = never\n[peers]\nseeds = a\n[stopp]\n",
                         "g.ini",
                         problems);
    REQUIRE(problems.size() == 5);
    CHECK(toText(problems[0]).find("g.ini:4") == 0);
    std::string all;
    for (const Problem &problem : problems) {
        all += toText(problem) + "\n";
    }
    CHECK(all.find("repeat_ratio") != std::string::npos);
    CHECK(all.find("cold_targets") != std::string::npos);
    CHECK(all.find("last-resort") != std::string::npos);
    CHECK(all.find("seeds") != std::string::npos);
    CHECK(all.find("stopp") != std::string::npos);
}
