#include "sequoiausher/transport/gateway/targetlifechecks.h"

#include "sequoiausher/base/error.h"
#include <map>
#include <utility>
#include <vector>

namespace Sequoiausher {

namespace {

/** A process on the same network refuses within milliseconds. */
constexpr Millis longestCheck{1000};

} // namespace

class TargetLifeChecks::Private
{
public:
    enum class Verdict {
        Lives,
        Ended,
        /** The target could not be reached. */
        None,
    };

    class Check : public TargetDialUser
    {
    public:
        Check(Private &of, const GatewayTarget &target, Millis now)
            : owner(of)
            , id(target.id)
            , begunAt(now)
            , dial(*this, of.environment, target, DialWays::All)
        {
            this->dial.start(Millis::monotonicNow());
        }
        Check(const Check &) = delete;
        Check &operator=(const Check &) = delete;

        void dialled(DialledTarget opened) override
        {
            opened.stream->close();
            this->owner.finish(this->id, Verdict::Lives);
        }
        void dialFailed(DialFailure why) override
        {
            this->owner.finish(this->id, why == DialFailure::Refused ? Verdict::Ended : Verdict::None);
        }

        Private &owner;
        TargetId id;
        Millis begunAt;
        TargetDial dial;
    };

    Private(TargetLifeUser &told, DialEnvironment &with) : user(told), environment(with)
    {
    }

    void finish(const TargetId &target, Verdict verdict)
    {
        // The check must not be destroyed during its own call.
        const auto found = this->running.find(target);
        this->over.push_back(std::move(found->second));
        this->running.erase(found);
        if (verdict == Verdict::Lives) {
            this->user.targetLives(target);
        } else if (verdict == Verdict::Ended) {
            this->user.targetEnded(target);
        }
    }

    TargetLifeUser &user;
    DialEnvironment &environment;
    std::map<TargetId, std::unique_ptr<Check>> running;
    std::vector<std::unique_ptr<Check>> over;
};

TargetLifeChecks::TargetLifeChecks(TargetLifeUser &user, DialEnvironment &environment)
    : d(std::make_unique<Private>(user, environment))
{
}

TargetLifeChecks::~TargetLifeChecks() = default;

void TargetLifeChecks::begin(const GatewayTarget &target, Millis now)
{
    if (this->d->running.contains(target.id)) {
        return;
    }
    try {
        this->d->running.emplace(target.id, std::make_unique<Private::Check>(*this->d, target, now));
    } catch (const Error &) {
        // Without a descriptor the check has no result.
        return;
    }
}

void TargetLifeChecks::tick(Millis now)
{
    this->d->over.clear();
    std::erase_if(this->d->running, [now](const auto &entry) { return now - entry.second->begunAt > longestCheck; });
    for (const auto &[target, check] : this->d->running) {
        check->dial.tick(now);
    }
}

} // namespace Sequoiausher
