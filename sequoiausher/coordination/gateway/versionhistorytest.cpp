#include "sequoiausher/coordination/gateway/versionhistory.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

namespace {

constexpr Millis span{10000};
const PoolId engines{"llm"};

GatewayTarget targetOf(const std::string &name, const std::string &version, const PoolId &service = engines)
{
    GatewayTarget target;
    target.id.value = name;
    target.service = service;
    target.softwareVersion = version;
    return target;
}

/** Hears the store as often as a gateway does with a calm one. */
void proveUntil(VersionHistory &history, Millis from, Millis until)
{
    for (Millis at = from; at < until; at += Millis{1000}) {
        history.recordProof(at);
    }
    history.recordProof(until);
}

OriginFinding findOnly(VersionHistory &history, Millis now, const PoolId &service = engines)
{
    history.recordProof(now);
    return history.findOnly(service, {now - span, now}, now);
}

} // namespace

TEST_CASE("a version is the only one once it has been that for the whole span")
{
    VersionHistory history;
    history.setTargets({}, Millis{0});
    proveUntil(history, Millis{1}, Millis{20000});
    CHECK(findOnly(history, Millis{20000}).kind == OriginFindingKind::Unknown);
    history.setTargets({targetOf("a", "v1"), targetOf("d", "v7", PoolId{"desk"})}, Millis{20000});
    proveUntil(history, Millis{20000}, Millis{29999});
    CHECK(findOnly(history, Millis{29999}).kind == OriginFindingKind::Unknown);
    const OriginFinding only = findOnly(history, Millis{30000});
    CHECK(only.kind == OriginFindingKind::Only);
    CHECK(only.softwareVersion == "v1");
    CHECK(findOnly(history, Millis{30000}, PoolId{"desk"}).softwareVersion == "v7");
    CHECK(findOnly(history, Millis{30000}, PoolId{"other"}).kind == OriginFindingKind::Unknown);
}

// Guards against a version that counts as the only one although streams that another one began may still be taken up.
TEST_CASE("a version that is gone counts until the span has passed, and one that returns counts again")
{
    VersionHistory history;
    history.setTargets({targetOf("a", "v1"), targetOf("b", "v2")}, Millis{0});
    proveUntil(history, Millis{1}, Millis{100000});
    CHECK(findOnly(history, Millis{50000}).kind == OriginFindingKind::Several);
    history.setTargets({targetOf("b", "v2")}, Millis{50000});
    CHECK(findOnly(history, Millis{59999}).kind == OriginFindingKind::Several);
    CHECK(findOnly(history, Millis{60000}).softwareVersion == "v2");
    history.setTargets({targetOf("b", "v2"), targetOf("c", "v1")}, Millis{70000});
    history.setTargets({targetOf("b", "v2")}, Millis{70001});
    CHECK(findOnly(history, Millis{80000}).kind == OriginFindingKind::Several);
    CHECK(findOnly(history, Millis{80001}).kind == OriginFindingKind::Only);
    history.setTargets({}, Millis{90000});
    CHECK(findOnly(history, Millis{99999}).softwareVersion == "v2");
    CHECK(findOnly(history, Millis{100000}).kind == OriginFindingKind::Unknown);
}

// Guards against a gateway that was out of step and takes a version for the only one by a list that is older than the
// stream.
TEST_CASE("a list proves nothing about a stream that may have begun after the proof")
{
    VersionHistory history;
    history.setTargets({targetOf("a", "v1")}, Millis{1});
    CHECK(history.findOnly(engines, {Millis{10000}, Millis{20000}}, Millis{20000}).kind == OriginFindingKind::Unknown);
    proveUntil(history, Millis{1}, Millis{20000});
    CHECK(history.findOnly(engines, {Millis{10000}, Millis{20000}}, Millis{20000}).kind == OriginFindingKind::Only);
    CHECK(history.findOnly(engines, {Millis{10001}, Millis{20001}}, Millis{20001}).kind == OriginFindingKind::Unknown);
    // A proof of an earlier moment that arrives later changes nothing.
    history.recordProof(Millis{19000});
    CHECK(history.findOnly(engines, {Millis{10001}, Millis{20001}}, Millis{20001}).kind == OriginFindingKind::Unknown);
    CHECK(history.provenUpTo() == Millis{20000});
}

// Guards against a version whose targets came and went while nothing was heard.
TEST_CASE("after a gap between two proofs, and after the store was restored, what is proven begins anew")
{
    VersionHistory history;
    history.setTargets({targetOf("a", "v1")}, Millis{1});
    proveUntil(history, Millis{1}, Millis{20000});
    CHECK(findOnly(history, Millis{22000}).kind == OriginFindingKind::Only);
    CHECK(findOnly(history, Millis{24001}).kind == OriginFindingKind::Unknown);
    proveUntil(history, Millis{24001}, Millis{34000});
    CHECK(findOnly(history, Millis{34000}).kind == OriginFindingKind::Unknown);
    CHECK(findOnly(history, Millis{34001}).kind == OriginFindingKind::Only);
    // Targets that the copy lacks are written again within 2.3 s; until then a list without them proves nothing.
    history.recordRestore(Millis{34002});
    CHECK(findOnly(history, Millis{34003}).kind == OriginFindingKind::Unknown);
    CHECK(history.provenSince() == Millis::never());
    history.recordProof(Millis{36301});
    CHECK(history.provenUpTo() == Millis{0});
    history.recordProof(Millis{36302});
    CHECK(history.provenSince() == Millis{36302});
}

// Guards against a version whose only target is written and removed by one answer of the store.
TEST_CASE("a target that was written counts even if the next list lacks it")
{
    VersionHistory history;
    history.setTargets({targetOf("a", "v1")}, Millis{1});
    proveUntil(history, Millis{1}, Millis{20000});
    history.recordWritten(targetOf("b", "v2"), Millis{20000});
    history.setTargets({targetOf("a", "v1")}, Millis{20000});
    CHECK(findOnly(history, Millis{20000}).kind == OriginFindingKind::Several);
}

// Guards against streams that are refused for an outage of the store where there is nothing that they could be kept at.
TEST_CASE("a service whose targets name no version goes by having heard anybody in the last two seconds")
{
    VersionHistory history;
    history.setTargets({targetOf("a", "")}, Millis{1});
    CHECK(history.findOnly(engines, {Millis{10000}, Millis{20000}}, Millis{20000}).kind == OriginFindingKind::Unknown);
    history.recordContact(Millis{20000});
    CHECK(history.findOnly(engines, {Millis{12000}, Millis{22000}}, Millis{22000}).kind == OriginFindingKind::Only);
    CHECK(history.findOnly(engines, {Millis{12001}, Millis{22001}}, Millis{22001}).kind == OriginFindingKind::Unknown);
    history.recordContact(Millis{30000});
    CHECK(history.findOnly(engines, {Millis{20000}, Millis{30000}}, Millis{30000}).kind == OriginFindingKind::Only);
    // One target that names its version makes it one to keep streams at.
    history.setTargets({targetOf("a", "v1")}, Millis{30000});
    history.recordContact(Millis{50000});
    CHECK(history.findOnly(engines, {Millis{40000}, Millis{50000}}, Millis{50000}).kind == OriginFindingKind::Unknown);
}
