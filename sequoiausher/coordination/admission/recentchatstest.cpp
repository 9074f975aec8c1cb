#include "sequoiausher/coordination/admission/recentchats.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

TEST_CASE("find() returns the last placement, and the chat placed longest ago is dropped first")
{
    RecentChats chats(2);
    CHECK(chats.find(1) == nullptr);
    chats.recordPlacement(1, TargetId{"a"});
    chats.recordPlacement(2, TargetId{"a"});
    chats.recordPlacement(1, TargetId{"b"});
    chats.recordPlacement(3, TargetId{"a"});
    REQUIRE(chats.find(1) != nullptr);
    CHECK(*chats.find(1) == TargetId{"b"});
    CHECK(chats.find(2) == nullptr);
}
