#include "sequoiausher/coordination/gateway/partplacements.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

namespace {

const TargetId one{"t1"};
const TargetId two{"t2"};
constexpr Millis start{10000};
constexpr std::uint64_t part = 7;

} // namespace

TEST_CASE("a part is read once the first event of a request with it has come")
{
    PartPlacements placements;
    CHECK(placements.find(part, one, start) == PartState::Absent);
    placements.recordPlaced(part, one, start);
    CHECK(placements.find(part, one, start) == PartState::Reading);
    CHECK(placements.readers(part, start).empty());
    placements.recordRead(part, one, start);
    CHECK(placements.find(part, one, start) == PartState::Read);
    CHECK(placements.find(part, two, start) == PartState::Absent);
    CHECK(placements.readers(part, start) == std::vector<TargetId>{one});
}

// Guards against a part that counts as read though the only request that was to read it was lost or cancelled.
TEST_CASE("a part whose requests all ended before their first event is absent")
{
    PartPlacements placements;
    placements.recordPlaced(part, one, start);
    placements.recordPlaced(part, one, start);
    placements.recordEnded(part, one);
    CHECK(placements.find(part, one, start) == PartState::Reading);
    placements.recordEnded(part, one);
    CHECK(placements.find(part, one, start) == PartState::Absent);
    placements.recordEnded(part, two);
    placements.recordEnded(part + 1, one);
    CHECK(placements.find(part, two, start) == PartState::Absent);
}

TEST_CASE("a part that was not used for long is absent, and the least recently used parts are forgotten first")
{
    PartPlacements placements({Millis{1000}, 2});
    placements.recordPlaced(part, one, start);
    placements.recordRead(part, one, start);
    CHECK(placements.find(part, one, start + Millis{1000}) == PartState::Read);
    CHECK(placements.find(part, one, start + Millis{1001}) == PartState::Absent);
    placements.recordPlaced(part + 1, one, start);
    placements.recordPlaced(part, two, start);
    placements.recordPlaced(part + 2, one, start);
    CHECK(placements.size() == 2);
    CHECK(placements.find(part + 1, one, start) == PartState::Absent);
    CHECK(placements.find(part, one, start) == PartState::Read);
    placements.recordPlaced(part, one, start + Millis{2000});
    CHECK(placements.find(part, one, start + Millis{2000}) == PartState::Reading);
}
