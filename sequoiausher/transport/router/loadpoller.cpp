#include "sequoiausher/transport/router/loadpoller.h"

#include "sequoiausher/protocol/targetapi/targetload.h"

#include <unordered_map>

namespace Sequoiausher {

namespace {

constexpr int statusOk = 200;
constexpr int firstServerError = 500;
constexpr Millis interval{500};
/** For targets that report nothing. */
constexpr Millis rareInterval{30000};
constexpr Millis callLimit{2000};

} // namespace

class LoadPoller::Private
{
public:
    Private(HttpClient &theClient, OnLoad theOnLoad) : client(theClient), onLoad(std::move(theOnLoad))
    {
    }

    void ask(Millis now, const TargetView &target);

    HttpClient &client;
    OnLoad onLoad;
    std::unordered_map<TargetId, Millis> dueAt;
};

void LoadPoller::Private::ask(Millis now, const TargetView &target)
{
    auto status = std::make_shared<int>(0);
    auto body = std::make_shared<std::string>();
    HttpCallbacks callbacks;
    callbacks.onHead = [status](int code, const HttpHeaders &) { *status = code; };
    callbacks.onData = [body](std::string_view bytes) {
        // One byte more than a report may have is kept, so that a longer one is refused whole.
        body->append(bytes.substr(0, maximumLoadBytes + 1 - body->size()));
    };
    callbacks.onEnd = [this, target, status, body] {
        const Millis answeredAt = Millis::monotonicNow();
        const std::optional<ReportedLoad> load
            = *status == statusOk ? parseTargetLoad(answeredAt, *body) : std::nullopt;
        if (load) {
            this->onLoad(target, *load);
        } else if (*status < firstServerError) {
            // A target that is merely busy or starting is asked again at the next turn.
            this->dueAt[target.description.target] = answeredAt + rareInterval;
        }
    };
    callbacks.onError = [](const ClientError &) {
        // The next turn asks again; a lost target is told by the lists and by the requests sent to it.
    };
    this->dueAt[target.description.target] = now + interval;
    const HttpRequest request{"GET", "http://" + target.description.address + "/load", {}, {}};
    this->client.send(request, RequestOptions{callLimit, callLimit, false}, std::move(callbacks));
}

LoadPoller::LoadPoller(HttpClient &client, OnLoad onLoad) : d(std::make_unique<Private>(client, std::move(onLoad)))
{
}

LoadPoller::~LoadPoller() = default;

void LoadPoller::poll(Millis now, const std::vector<TargetView> &targets)
{
    for (const TargetView &target : targets) {
        const auto due = this->d->dueAt.find(target.description.target);
        if (due == this->d->dueAt.end() || now >= due->second) {
            this->d->ask(now, target);
        }
    }
    // Targets come and go for years; what is not asked any more is forgotten now and then.
    constexpr std::size_t forgetAbove = 20000;
    if (this->d->dueAt.size() > forgetAbove) {
        this->d->dueAt.clear();
    }
}

} // namespace Sequoiausher
