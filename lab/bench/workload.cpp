#include "lab/bench/workload.h"

#include <algorithm>
#include <cmath>

namespace Sequoiausher {

namespace {

constexpr double zipfExponent = 1.1;
constexpr std::uint32_t firstPromptTokens = 1200;
// The first prompt of a chat without the system prompt before it.
constexpr std::uint32_t firstOwnTokens = 300;
constexpr std::uint32_t tokensPerTurn = 500;
constexpr std::uint32_t longestChat = 16000;
// One turn in so many is a chat's last; the next visitor starts a new one.
constexpr std::size_t turnsPerChat = 15;
// Recent chats are drawn more often: the lower of two draws.
constexpr double logNormalSigma = 0.8;

std::vector<double> zipfWeights(std::uint32_t count)
{
    std::vector<double> weights;
    for (std::uint32_t rank = 1; rank <= count; ++rank) {
        weights.push_back(std::pow(rank, -zipfExponent));
    }
    return weights;
}

} // namespace

Workload::Workload(const WorkloadSettings &given, std::uint64_t seed) : settings(given), random(seed)
{
    const std::vector<double> weights = zipfWeights(given.organisations);
    this->organisation = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
    this->chats.resize(given.organisations);
    if (given.applications > 0) {
        this->drawSharedTokens();
    }
    for (std::uint32_t i = 0; i < given.chats; ++i) {
        const std::size_t owner = this->organisation(this->random);
        this->chats[owner].push_back(this->newChat(owner));
    }
}

std::size_t Workload::draw(std::size_t below)
{
    return this->random() % below;
}

void Workload::drawSharedTokens()
{
    const std::vector<double> weights = zipfWeights(this->settings.applications);
    this->application = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
    const std::size_t range = this->settings.mostSharedTokens - this->settings.fewestSharedTokens + 1;
    const std::size_t prefixes = std::size_t{this->settings.organisations} * this->settings.applications;
    for (std::size_t i = 0; i < prefixes; ++i) {
        const auto above = static_cast<std::uint32_t>(this->draw(range));
        this->sharedTokens.push_back(this->settings.fewestSharedTokens + above);
    }
}

Workload::Chat Workload::newChat(std::size_t owner)
{
    if (this->settings.applications == 0) {
        return Chat{++this->lastId, firstPromptTokens, 0};
    }
    const std::uint64_t prefix = owner * this->settings.applications + this->application(this->random) + 1;
    return Chat{++this->lastId, firstOwnTokens, prefix};
}

Turn Workload::next()
{
    const std::size_t owner = this->organisation(this->random);
    std::vector<Chat> &own = this->chats[owner];
    if (own.empty()) {
        own.push_back(this->newChat(owner));
    }
    Chat &chat = own[std::min(this->draw(own.size()), this->draw(own.size()))];
    if (this->draw(turnsPerChat) == 0) {
        chat = this->newChat(owner);
    }
    Turn turn;
    turn.chat = chat.id;
    turn.sharedPrefix = chat.sharedPrefix;
    turn.sharedTokens = this->sharedTokens[chat.sharedPrefix];
    turn.promptTokens = chat.tokens;
    chat.tokens = std::min(chat.tokens + tokensPerTurn, longestChat);
    turn.tokensAfter = chat.tokens;
    // The mean of a log-normal distribution is exp(mu + sigma^2 / 2).
    const double mu = std::log(static_cast<double>(this->settings.meanRun.count)) - logNormalSigma * logNormalSigma / 2;
    std::lognormal_distribution<double> run(mu, logNormalSigma);
    std::exponential_distribution<double> gap(this->settings.requestsPerSecond / 1000);
    turn.run = Millis{static_cast<std::int64_t>(run(this->random)) + 1};
    turn.untilNext = Millis{static_cast<std::int64_t>(std::lround(gap(this->random)))};
    return turn;
}

} // namespace Sequoiausher
