#include "lab/scenarios/livecalls.h"

#include "lab/support/labcall.h"
#include "sequoiausher/transport/http/httpclient.h"

#include <QtCore/QCryptographicHash>

#include <algorithm>
#include <random>
#include <set>

namespace Sequoiausher::Lab {

namespace {

constexpr Millis callLimit{20000};
constexpr Millis slice{2};

std::size_t numberAfter(const std::string &text, const std::string &key)
{
    const std::size_t at = text.rfind(key);
    return at == std::string::npos ? 0 : std::stoul("0" + text.substr(at + key.size(), 9));
}

struct Planned
{
    Millis at;
    std::function<void()> action;
};

} // namespace

class LiveCalls::Private
{
public:
    Private(Fleet &theFleet, std::uint64_t seed) : fleet(theFleet), random(seed)
    {
    }

    std::size_t nextRouter();
    void begin(const LiveCall &call);

    Fleet &fleet;
    std::mt19937_64 random;
    HttpClient client{HttpClientOptions{}};
    std::vector<Planned> plan;
    std::set<std::size_t> avoided;
    std::vector<std::shared_ptr<LiveAnswer>> answers;
};

std::size_t LiveCalls::Private::nextRouter()
{
    std::vector<std::size_t> usable;
    for (std::size_t i = 0; i < this->fleet.routers(); ++i) {
        if (!this->avoided.contains(i)) {
            usable.push_back(i);
        }
    }
    return usable.at(this->random() % usable.size());
}

void LiveCalls::Private::begin(const LiveCall &call)
{
    auto answer = std::make_shared<LiveAnswer>();
    answer->call = call;
    answer->router = this->nextRouter();
    answer->startedAt = Millis::monotonicNow();
    this->answers.push_back(answer);
    std::string prompt = call.chat;
    for (std::size_t i = 0; i < call.promptWords; ++i) {
        prompt += " " + call.chat + "-" + std::to_string(i);
    }
    HttpRequest request;
    request.method = "POST";
    request.url = "http://127.0.0.1:" + std::to_string(this->fleet.routerPort(answer->router)) + "/v1/chat/completions";
    request.headers.add("Authorization", "Bearer key-" + call.organisation);
    request.headers.add("Content-Type", "application/json");
    request.headers.add("X-Class", std::string(nameOf(call.requestClass)));
    request.headers.add("X-Chat-Id", call.chat);
    request.body = Fleet::chatBody(prompt, call.tokens, true);
    HttpCallbacks callbacks;
    callbacks.onHead = [answer](int status, const HttpHeaders &headers) {
        answer->status = status;
        answer->headAt = Millis::monotonicNow();
        answer->requestId = headers.value("X-Request-Id");
        answer->hasRetryAfter = !headers.value("Retry-After").empty();
    };
    auto tail = std::make_shared<std::string>();
    callbacks.onData = [tail, answer](std::string_view bytes) {
        constexpr std::size_t kept = 1024;
        if (answer->firstAt == Millis{0}) {
            answer->firstAt = Millis::monotonicNow();
        }
        *tail += bytes;
        tail->erase(0, tail->size() > kept ? tail->size() - kept : 0);
    };
    callbacks.onEnd = [answer, tail] {
        answer->ended = true;
        answer->endedAt = Millis::monotonicNow();
        answer->whole = answer->status == 200 && tail->find("data: [DONE]") != std::string::npos;
        answer->promptTokens = numberAfter(*tail, "\"prompt_tokens\":");
        answer->cachedTokens = numberAfter(*tail, "\"cached_tokens\":");
    };
    callbacks.onError = [answer](const ClientError &) {
        answer->ended = true;
        answer->endedAt = Millis::monotonicNow();
    };
    RequestOptions options;
    options.firstByteTimeout = callLimit;
    options.deadline = callLimit;
    this->client.send(request, options, std::move(callbacks));
}

std::string liveOrganisations(const std::vector<std::string> &names)
{
    std::string text;
    for (const std::string &name : names) {
        const QByteArray key = QByteArray::fromStdString("key-" + name);
        const QByteArray digest = QCryptographicHash::hash(key, QCryptographicHash::Sha256);
        text += "[organisation " + name + "]\nkey_sha256 = " + digest.toHex().toStdString() + "\n";
    }
    return text;
}

LiveCalls::LiveCalls(Fleet &fleet, std::uint64_t seed) : d(std::make_unique<Private>(fleet, seed))
{
}

LiveCalls::~LiveCalls() = default;

void LiveCalls::add(const LiveCall &call)
{
    this->at(call.at, [this, call] { this->d->begin(call); });
}

void LiveCalls::at(Millis when, std::function<void()> action)
{
    this->d->plan.push_back(Planned{when, std::move(action)});
}

void LiveCalls::avoid(std::size_t router)
{
    this->d->avoided.insert(router);
}

void LiveCalls::run(Millis drain)
{
    std::stable_sort(
        this->d->plan.begin(), this->d->plan.end(), [](const Planned &a, const Planned &b) { return a.at < b.at; });
    const Millis begun = Millis::monotonicNow();
    for (const Planned &planned : this->d->plan) {
        while (Millis::monotonicNow() < begun + planned.at) {
            LabCaller::waitFor([] { return false; }, slice);
        }
        planned.action();
    }
    this->d->plan.clear();
    LabCaller::waitFor(
        [this] {
            return std::all_of(
                this->d->answers.begin(), this->d->answers.end(), [](const auto &answer) { return answer->ended; });
        },
        drain);
}

const std::vector<std::shared_ptr<LiveAnswer>> &LiveCalls::made() const
{
    return this->d->answers;
}

} // namespace Sequoiausher::Lab
