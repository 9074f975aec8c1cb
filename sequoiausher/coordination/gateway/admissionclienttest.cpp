#include "sequoiausher/coordination/gateway/admissionclient.h"

#include <doctest/doctest.h>

#include <vector>

using namespace Sequoiausher;

namespace {

const InstanceId first{"10.1.0.1:80"};
const InstanceId second{"10.1.0.2:80"};
constexpr Millis start{10000};

struct Bed
{
    GatewayAdmissionRequest ask(Millis now)
    {
        const Outbox sent = this->client.ask(
            {}, {first, second}, now, [this](const AdmissionAnswer &answer) { this->answers.push_back(answer); });
        if (sent.empty()) {
            return {};
        }
        this->asked = sent.front().to;
        return std::get<GatewayAdmissionRequest>(sent.front().message);
    }

    AdmissionClient client;
    std::vector<AdmissionAnswer> answers;
    InstanceId asked;
};

GatewayAdmissionReply granted(std::uint64_t id)
{
    return {id, AdmissionVerdict::Granted, TargetId{"t"}, {}};
}

} // namespace

TEST_CASE("the first owner is asked, and its reply is passed on once")
{
    Bed bed;
    const std::uint64_t id = bed.ask(start).id;
    CHECK(bed.asked == first);
    CHECK(bed.client.receive(first, granted(id)).empty());
    REQUIRE(bed.answers.size() == 1);
    CHECK(bed.answers.front().result == AdmissionResult::Granted);
    CHECK(bed.answers.front().target == TargetId{"t"});
    CHECK(bed.answers.front().place.owner == first);
    CHECK(bed.answers.front().place.id == id);
    const std::uint64_t refused = bed.ask(start).id;
    bed.client.receive(first, {refused, AdmissionVerdict::Overloaded, {}, Millis{300}});
    CHECK(bed.answers.back().result == AdmissionResult::Overloaded);
    CHECK(bed.answers.back().retryAfter == Millis{300});
    CHECK(bed.answers.size() == 2);
}

// Guards against an owner that hangs: requests must not wait for it, and its late grants must not stay counted.
TEST_CASE("an owner that does not reply is given up and skipped, and its late grant is given back")
{
    Bed bed;
    const std::uint64_t id = bed.ask(start).id;
    bed.client.tick(start + Millis{40});
    CHECK(bed.answers.empty());
    bed.client.tick(start + Millis{80});
    REQUIRE(bed.answers.size() == 1);
    CHECK(bed.answers.front().result == AdmissionResult::NoReply);
    bed.ask(start + Millis{81});
    CHECK(bed.asked == second);
    const Outbox given = bed.client.receive(first, granted(id));
    REQUIRE(given.size() == 1);
    CHECK(given.front().to == first);
    const auto release = std::get<GatewayAdmissionRelease>(given.front().message);
    CHECK(release.id == id);
    CHECK(release.outcome == PlaceOutcome::Unused);
    CHECK(bed.answers.size() == 1);
    bed.client.tick(start + Millis{3000});
    bed.ask(start + Millis{3000});
    CHECK(bed.asked == first);
}

// Guards against an owner that dies: its broken link ends the wait.
TEST_CASE("a broken link to the owner ends the wait at once")
{
    Bed bed;
    bed.ask(start);
    bed.client.recordLinkLost(second, start + Millis{1});
    CHECK(bed.answers.empty());
    bed.client.recordLinkLost(first, start + Millis{2});
    CHECK(bed.answers.size() == 1);
    CHECK(bed.answers.front().result == AdmissionResult::NoReply);
}

TEST_CASE("without an owner to ask, the answer comes at once")
{
    Bed bed;
    bed.client.recordLinkLost(first, start);
    bed.client.recordLinkLost(second, start);
    bed.ask(start);
    REQUIRE(bed.answers.size() == 1);
    CHECK(bed.answers.front().result == AdmissionResult::NoReply);
}

// Guards against a gateway that answers in place of the one that was asked.
TEST_CASE("a reply of another gateway than the asked one is not taken")
{
    Bed bed;
    const std::uint64_t id = bed.ask(start).id;
    const Outbox given = bed.client.receive(second, granted(id));
    CHECK(bed.answers.empty());
    REQUIRE(given.size() == 1);
    CHECK(given.front().to == second);
    bed.client.receive(first, granted(id));
    CHECK(bed.answers.size() == 1);
}

// Guards against an owner that hangs while several requests wait for it: each is given up once, those at another owner
// go on.
TEST_CASE("all requests to an owner that hangs are given up together")
{
    const InstanceId slow{"10.1.0.1:8225-with-a-name-that-is-allocated"};
    const InstanceId other{"10.1.0.2:8225-with-a-name-that-is-allocated"};
    AdmissionClient client;
    int slowAnswers = 0;
    int otherAnswers = 0;
    for (int i = 0; i < 4; ++i) {
        client.ask({}, {slow}, start, [&slowAnswers](const AdmissionAnswer &) { slowAnswers += 1; });
        client.ask({}, {other}, start + Millis{50}, [&otherAnswers](const AdmissionAnswer &) { otherAnswers += 1; });
    }
    client.tick(start + Millis{70});
    CHECK(slowAnswers == 4);
    CHECK(otherAnswers == 0);
    client.tick(start + Millis{200});
    CHECK(slowAnswers == 4);
    CHECK(otherAnswers == 4);
}
