#pragma once

// Checks whether a target that lost a connection still listens, by opening a connection and closing it again. If the
// target's process has ended, the connection is refused at once. If nothing comes back, the target may only be
// unreachable, and there is no result.
//
//     TargetLifeChecks checks(user);
//     checks.begin(target, now);
//     // every 40 ms: checks.tick(now)

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"
#include "sequoiausher/coordination/gateway/gatewayconfiguration.h"

#include <memory>

namespace Sequoiausher {

/** Receives the results; there is none for a target that does not respond. */
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
    /** user outlives this. */
    explicit TargetLifeChecks(TargetLifeUser &user);
    ~TargetLifeChecks();
    TargetLifeChecks(const TargetLifeChecks &) = delete;
    TargetLifeChecks &operator=(const TargetLifeChecks &) = delete;

    /** Checks the target, unless it is being checked already. */
    void begin(const GatewayTarget &target, Millis now);
    /** Ends checks without a result after their time limit. */
    void tick(Millis now);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
