#include "sequoiausher/transport/router/requestregistry.h"

#include <QMetaObject>
#include <QObject>

#include <mutex>
#include <unordered_map>

namespace Sequoiausher {

namespace {

struct Entry
{
    QObject *loop = nullptr;
    std::weak_ptr<RequestEar> ear;
};

// The ear is looked at again on its own thread: the request may end while the call waits in the loop's queue.
void post(const Entry &entry, RequestRegistry::Telling telling)
{
    QMetaObject::invokeMethod(
        entry.loop,
        [ear = entry.ear, telling = std::move(telling)] {
            if (const std::shared_ptr<RequestEar> alive = ear.lock()) {
                telling(*alive);
            }
        },
        Qt::QueuedConnection);
}

} // namespace

class RequestRegistry::Private
{
public:
    mutable std::mutex mutex;
    std::unordered_map<RequestId, Entry> requests;
};

RequestRegistry::RequestRegistry() : d(std::make_unique<Private>())
{
}

RequestRegistry::~RequestRegistry() = default;

void RequestRegistry::add(const RequestId &request, QObject *loop, const std::shared_ptr<RequestEar> &ear)
{
    const std::scoped_lock lock(this->d->mutex);
    this->d->requests[request] = Entry{loop, ear};
}

void RequestRegistry::remove(const RequestId &request)
{
    const std::scoped_lock lock(this->d->mutex);
    this->d->requests.erase(request);
}

void RequestRegistry::tell(const RequestId &request, Telling telling) const
{
    const std::scoped_lock lock(this->d->mutex);
    const auto found = this->d->requests.find(request);
    if (found != this->d->requests.end()) {
        post(found->second, std::move(telling));
    }
}

void RequestRegistry::tellAll(const Telling &telling) const
{
    const std::scoped_lock lock(this->d->mutex);
    for (const auto &entry : this->d->requests) {
        post(entry.second, telling);
    }
}

std::size_t RequestRegistry::size() const
{
    const std::scoped_lock lock(this->d->mutex);
    return this->d->requests.size();
}

} // namespace Sequoiausher
