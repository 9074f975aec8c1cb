#include "sequoiausher/transport/gateway/targetlifechecks.h"

#include "sequoiausher/base/error.h"
#include "sequoiausher/transport/stream/bytestream.h"

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
    class Check : public ByteStreamUser
    {
    public:
        Check(Private &of, const GatewayTarget &target, Millis now)
            : owner(of)
            , id(target.id)
            , begunAt(now)
            , stream(ByteStream::dial(target.address, this))
        {
        }
        ~Check() override
        {
            this->stream->forgetUser();
            this->stream->close();
        }
        Check(const Check &) = delete;
        Check &operator=(const Check &) = delete;

        void connected() override
        {
            this->owner.finish(this->id, true);
        }
        void bytesArrived() override
        {
        }
        void ended(StreamEnd how) override
        {
            this->owner.finish(this->id, how != StreamEnd::NotConnected);
        }

        Private &owner;
        TargetId id;
        Millis begunAt;
        std::shared_ptr<ByteStream> stream;
    };

    explicit Private(TargetLifeUser &told) : user(told)
    {
    }

    void finish(const TargetId &target, bool lives)
    {
        // The check must not be destroyed during its own call.
        const auto found = this->running.find(target);
        found->second->stream->forgetUser();
        this->over.push_back(std::move(found->second));
        this->running.erase(found);
        if (lives) {
            this->user.targetLives(target);
        } else {
            this->user.targetEnded(target);
        }
    }

    TargetLifeUser &user;
    std::map<TargetId, std::unique_ptr<Check>> running;
    std::vector<std::unique_ptr<Check>> over;
};

TargetLifeChecks::TargetLifeChecks(TargetLifeUser &user) : d(std::make_unique<Private>(user))
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
}

} // namespace Sequoiausher
