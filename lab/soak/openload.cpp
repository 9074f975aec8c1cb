#include "lab/soak/openload.h"

#include "platform/standindialect.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Sequoiausher::Lab {

namespace {

constexpr double meanGroup = 3;
constexpr double msPerSecond = 1000;
/** The largest share of a gateway is about six times the smallest. */
constexpr double leastWeight = 0.3;
constexpr double mostWeight = 1.7;
/** Attempts after the first one. */
constexpr int mostRepeats = 2;
constexpr std::size_t mostIdle = 4;
constexpr Millis longestIdle = soakIdleTime / 2;

} // namespace

struct OpenLoad::Request
{
    SoakCall call;
    int triesLeft = 0;
    Millis leaveAt;
    std::unique_ptr<FakeCaller> connection;
};

OpenLoad::OpenLoad(SoakJudge &by, const SoakOffer &offer, Entry chosen, std::size_t gateways, std::uint64_t seed)
    : judge(by)
    , entry(std::move(chosen))
    , draw("o-", offer, seed)
    , random(seed)
{
    std::uniform_real_distribution<double> weight(leastWeight, mostWeight);
    for (std::size_t i = 0; i < gateways; ++i) {
        this->weights.push_back(weight(this->random));
    }
}

OpenLoad::~OpenLoad() = default;

void OpenLoad::setRate(double to)
{
    this->perSecond = to;
}

void OpenLoad::setPrompts(const PromptDraw &prompts)
{
    this->draw.setPrompts(prompts);
}

void OpenLoad::setImpatience(std::int64_t percent)
{
    this->impatientPercent = percent;
}

void OpenLoad::rest()
{
    this->isResting = true;
}

std::optional<SoakEntry> OpenLoad::pickEntry()
{
    std::discrete_distribution<std::size_t> gateway(this->weights.begin(), this->weights.end());
    for (std::size_t tries = 0; tries < this->weights.size(); ++tries) {
        if (std::optional<SoakEntry> chosen = this->entry(gateway(this->random))) {
            return chosen;
        }
    }
    return std::nullopt;
}

void OpenLoad::send(int triesLeft, Millis now)
{
    const std::optional<SoakEntry> chosen = this->pickEntry();
    if (!chosen) {
        return;
    }
    auto request = std::make_unique<Request>();
    request->call = this->draw.next(*chosen, now);
    request->triesLeft = triesLeft;
    std::vector<IdleConnection> &kept = this->idle[chosen->gateway];
    std::erase_if(kept, [now](const IdleConnection &each) {
        return each.connection->reply.hasEnded || now - each.since > longestIdle;
    });
    if (kept.empty()) {
        request->connection = std::make_unique<FakeCaller>(chosen->address);
    } else {
        request->connection = std::move(kept.back().connection);
        kept.pop_back();
    }
    const std::string bytes = this->draw.wire(request->call);
    request->leaveAt = this->draw.leaveTime(request->call, now);
    this->judge.sent(request->call);
    request->connection->send(bytes);
    this->open.push_back(std::move(request));
}

void OpenLoad::sendGroup(Millis now)
{
    const int count = std::geometric_distribution<int>(1 / meanGroup)(this->random) + 1;
    for (int i = 0; i < count; ++i) {
        this->send(mostRepeats, now);
    }
}

void OpenLoad::finish(Request &request, Millis now)
{
    const CallerReply &reply = request.connection->reply;
    const StandInDialect::ReadAnswer read = StandInDialect::readAnswer(reply.head);
    SoakAnswer answer;
    answer.status = reply.status;
    answer.isWhole = reply.isWhole;
    answer.attemptId = read.attemptId;
    answer.signature = read.signature;
    answer.body = reply.body;
    this->judge.answered(request.call.id, answer, now);
    constexpr int firstFailure = 300;
    const bool isServed = answer.isWhole && answer.status < firstFailure;
    if (!isServed && request.triesLeft > 0) {
        const bool isImpatient = this->draw.between(1, 100) <= this->impatientPercent;
        const double seconds = isImpatient ? 0 : read.retryAfterSeconds.value_or(0);
        this->returning.emplace(now + Millis{std::llround(seconds * msPerSecond)}, request.triesLeft - 1);
    }
    std::vector<IdleConnection> &kept = this->idle[request.call.gateway];
    if (reply.isWhole && !reply.hasEnded && reply.head.keepAlive && kept.size() < mostIdle) {
        kept.push_back({std::move(request.connection), now});
    }
}

bool OpenLoad::isOver(Request &request, Millis now)
{
    const CallerReply &reply = request.connection->reply;
    if (reply.isWhole || reply.hasEnded) {
        this->finish(request, now);
        return true;
    }
    if (now >= request.leaveAt) {
        this->judge.left(request.call.id, now);
        return true;
    }
    return false;
}

void OpenLoad::tick(Millis now)
{
    const auto over = std::stable_partition(
        this->open.begin(), this->open.end(), [this, now](const auto &each) { return !this->isOver(*each, now); });
    this->open.erase(over, this->open.end());
    if (this->isResting || this->perSecond <= 0) {
        return;
    }
    while (!this->returning.empty() && this->returning.begin()->first <= now) {
        const int triesLeft = this->returning.begin()->second;
        this->returning.erase(this->returning.begin());
        this->send(triesLeft, now);
    }
    if (this->nextGroupAt == Millis{0}) {
        this->nextGroupAt = now;
    }
    while (this->nextGroupAt <= now) {
        this->sendGroup(now);
        const double gap = std::exponential_distribution<double>(this->perSecond / meanGroup)(this->random);
        this->nextGroupAt += Millis{std::llround(gap * msPerSecond)};
    }
}

} // namespace Sequoiausher::Lab
