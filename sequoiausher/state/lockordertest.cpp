#include "sequoiausher/state/lockorder.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

// Guards against a rare deadlock: one worker locks answers and then claims, another one claims and then answers. With a
// common order the first run of either one fails.
TEST_CASE("locks are taken in their order only")
{
    OrderedMutex claims(LockRank::Claims);
    OrderedMutex answers(LockRank::Answers);
    {
        const std::scoped_lock first(claims);
        const std::scoped_lock second(answers);
    }
    const std::scoped_lock later(answers);
    CHECK_THROWS_AS(claims.lock(), std::logic_error);
    CHECK_THROWS_AS(answers.lock(), std::logic_error);
}

TEST_CASE("a refused lock leaves nothing held")
{
    OrderedMutex membership(LockRank::Membership);
    OrderedMutex metrics(LockRank::Metrics);
    {
        const std::scoped_lock later(metrics);
        CHECK_THROWS_AS(membership.lock(), std::logic_error);
    }
    const std::scoped_lock first(membership);
    CHECK(metrics.try_lock());
    metrics.unlock();
}
