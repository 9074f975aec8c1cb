#pragma once

// Whether a target that lost a connection still listens: one connection is opened to it and closed again. A process
// that has ended refuses it at once, one that is merely unreachable says nothing, and nothing is concluded.
//
//     TargetLifeChecks checks(user);
//     checks.begin(target, now);
//     // every 40 ms: checks.tick(now)

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"
#include "sequoiausher/coordination/gateway/gatewayconfiguration.h"

#include <memory>

namespace Sequoiausher {

/** Hears of each target that was checked; not of one that says nothing. */
class TargetLifeUser
{
public:
    virtual ~TargetLifeUser() = default;
    virtual void targetEnded(const TargetId &target) = 0;
    virtual void targetLives(const TargetId &target) = 0;
};

/** Not thread-safe. */
class TargetLifeChecks
{
public:
    /** user outlives it. */
    explicit TargetLifeChecks(TargetLifeUser &user);
    ~TargetLifeChecks();
    TargetLifeChecks(const TargetLifeChecks &) = delete;
    TargetLifeChecks &operator=(const TargetLifeChecks &) = delete;

    /** Checks the target, unless it is being checked already. */
    void begin(const GatewayTarget &target, Millis now);
    /** Gives up checks without a word. */
    void tick(Millis now);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
