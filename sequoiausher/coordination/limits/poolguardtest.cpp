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

// Guards against sending requests to a dead target again and again: every third request waited for such a target and
// was resent. The platform still lists the target for seconds, and its empty count makes it the owner's first choice,
// so the router must remember its failures.
TEST_CASE("a target is paused after consecutive failures, then probed by one request")
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

TEST_CASE("if all targets are paused, requests are still sent")
{
    PoolGuard guard;
    const PoolView pool = poolOf({"a", "b"});
    failThrice(guard, "a");
    failThrice(guard, "b");
    CHECK(guard.pausedTargets(Millis{1000}, pool, {}).empty());
    // The request failed at b, so only a is left.
    guard.recordSuccess(TargetId{"b"});
    CHECK(guard.pausedTargets(Millis{1000}, pool, {TargetId{"b"}}).empty());
}

// Guards against retry storms: a pool that lost half of its targets got twice the requests, since each failed call was
// resent.
TEST_CASE("resends are bounded to a share of first attempts, separately for each pool")
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
    const PoolId other{"other"};
    for (int i = 0; i < 10; ++i) {
        CHECK_FALSE(guard.tryResend(now, other, 10));
        guard.countRequest(now, other, 10);
    }
    CHECK(guard.tryResend(now, other, 10));
    CHECK_FALSE(guard.tryResend(now, other, 10));
    CHECK_FALSE(guard.tryResend(now, pool, 0));
}
