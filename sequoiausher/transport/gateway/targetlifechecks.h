#pragma once

// Checks whether a target that lost a connection still listens, by opening a connection and closing it again. If the
// target's process has ended, the connection is refused at once, also where another gateway opens it. If nothing comes
// back, or the path to the target is cut, there is no result.
//
//     TargetLifeChecks checks(user, environment);
//     checks.begin(target, now);
//     // every 40 ms: checks.tick(now)

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"
#include "sequoiausher/coordination/gateway/gatewayconfiguration.h"
#include "sequoiausher/transport/gateway/targetdial.h"

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
    /** user and environment outlive this. */
    TargetLifeChecks(TargetLifeUser &user, DialEnvironment &environment);
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
