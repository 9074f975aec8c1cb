#include "sequoiausher/coordination/limits/poolguard.h"

#include <doctest/doctest.h>

using namespace Sequoiausher;

namespace {

PoolView poolOf(const std::vector<std::string> &names)
{
    PoolView pool;
    pool.pool = PoolId{"plates"};
    for (const std::string &name : names) {
        TargetView target;
        target.description.target = TargetId{name};
        pool.targets.push_back(target);
    }
    return pool;
}

void failThrice(PoolGuard &guard, const std::string &target)
{
    for (int i = 0; i < 3; ++i) {
        guard.recordFailure(Millis{1000}, TargetId{target});
    }
}

} // namespace

// Symptom: every third request waits for a dead target and is resent. Sequence: a target dies, the platform's list
// still has it for seconds, its empty count makes it the owner's first choice. Cause: failures were not remembered.
TEST_CASE("a target whose calls fail one after another is left alone for a while, then probed by one request")
{
    PoolGuard guard;
    const PoolView pool = poolOf({"a", "b"});
    CHECK(guard.pausedTargets(Millis{1000}, pool, {}).empty());
    failThrice(guard, "a");
    CHECK(guard.pausedTargets(Millis{1000}, pool, {}) == std::vector{TargetId{"a"}});
    CHECK(guard.pausedTargets(Millis{1600}, pool, {}).empty());
    guard.recordAttempt(Millis{1600}, TargetId{"a"});
    CHECK(guard.pausedTargets(Millis{1601}, pool, {}) == std::vector{TargetId{"a"}});
    guard.recordSuccess(TargetId{"a"});
    CHECK(guard.pausedTargets(Millis{1602}, pool, {}).empty());
}

TEST_CASE("where all are paused, one is tried all the same")
{
    PoolGuard guard;
    const PoolView pool = poolOf({"a", "b"});
    failThrice(guard, "a");
    failThrice(guard, "b");
    CHECK(guard.pausedTargets(Millis{1000}, pool, {}).empty());
    // The request has failed on b itself: a is all that is left.
    guard.recordSuccess(TargetId{"b"});
    CHECK(guard.pausedTargets(Millis{1000}, pool, {TargetId{"b"}}).empty());
}

// Symptom: a pool that lost half of its targets gets twice the requests. Cause: each failed call was sent again.
TEST_CASE("resends are a share of first tries, for each pool by itself")
{
    PoolGuard guard;
    const PoolId pool{"plates"};
    const Millis now{1000};
    for (int i = 0; i < 200; ++i) {
        guard.countRequest(now, pool, 10);
    }
    int sent = 0;
    while (guard.tryResend(now, pool, 10)) {
        ++sent;
    }
    CHECK(sent <= 20);
    CHECK(guard.tryResend(now, PoolId{"other"}, 10));
    CHECK_FALSE(guard.tryResend(now, pool, 0));
}
