#include "sequoiausher/state/lockorder.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

// Symptom: once in weeks a router stands still, two workers each waiting for the other. Sequence: one takes answers
// and then claims, the other claims and then answers. Cause: no common order. Here the first run alone is refused.
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
