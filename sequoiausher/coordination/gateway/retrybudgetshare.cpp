#include "sequoiausher/coordination/gateway/retrybudgetshare.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace Sequoiausher {

namespace {

/** A window is counted in this many parts. Requests are summed over one part less than a window. */
constexpr std::int64_t partsPerWindow = 20;
/**
 * The fractions of the ratio that a request earns, and that the requests of the last window allow to be saved up. Their
 * sum is below 1 because requests arrive at a target some milliseconds after they are counted here, and because
 * gateways that wake count requests that callers sent before.
 */
constexpr double earnedRatioFraction = 0.6;
constexpr double savedRatioFraction = 0.3;
/** The fraction of the slack that is used; the rest is reserved for gateways that are not known yet. */
constexpr double usedSlackFraction = 0.8;
/** The fraction of a gateway's share of the slack that may be saved up; time earns the rest, once in each window. */
constexpr double savedSlackFraction = 0.5;

/** A sliding count that is kept per part of a window. */
struct SlidingCount
{
    struct Part
    {
        std::int64_t number = 0;
        std::uint32_t count = 0;
    };

    void add(std::int64_t number)
    {
        if (this->held.empty() || this->held.back().number != number) {
            this->held.push_back({number, 0});
        }
        this->held.back().count += 1;
        this->total += 1;
    }

    /** Returns the count over the span newest parts, of which number is the last; drops older parts. */
    std::uint32_t sumRecent(std::int64_t number, std::int64_t span)
    {
        while (!this->held.empty() && this->held.front().number <= number - span) {
            this->total -= this->held.front().count;
            this->held.pop_front();
        }
        return this->total;
    }

    std::deque<Part> held;
    std::uint32_t total = 0;
};

struct Account
{
    SlidingCount requests;
    double balance = 0;
    /** Until when time has earned its part of the balance. */
    Millis earnedUntil;
};

/** A gateway's share of the slack. */
struct SlackShare
{
    /** May be saved up. */
    double saved = 0;
    /** Is earned in each window. */
    double earned = 0;
};

} // namespace

class RetryBudgetShare::Private
{
public:
    std::int64_t partNumberAt(Millis now) const
    {
        return now.count / std::max<std::int64_t>(this->settings.window.count / partsPerWindow, 1);
    }

    SlackShare slackShare(const RetryBudgetFleet &fleet) const
    {
        if (!fleet.isComplete) {
            return {};
        }
        const auto gateways = static_cast<double>(std::max<std::size_t>(fleet.gateways, 1));
        const double share = this->settings.slack * usedSlackFraction / gateways;
        // Savings that never reach one retry would be of no use.
        const double saved = std::max(share * savedSlackFraction, std::min(share, 1.0));
        return {saved, share - saved};
    }

    /** Returns the service's account as it is at this time. */
    Account &currentAccount(const PoolId &service, const RetryBudgetFleet &fleet, Millis now)
    {
        Account &account = this->accounts.try_emplace(service, Account{.earnedUntil = this->startedAt}).first->second;
        const SlackShare slack = this->slackShare(fleet);
        const double windows = static_cast<double>(std::max<std::int64_t>((now - account.earnedUntil).count, 0))
            / static_cast<double>(std::max<std::int64_t>(this->settings.window.count, 1));
        account.earnedUntil = std::max(account.earnedUntil, now);
        const double requests = account.requests.sumRecent(this->partNumberAt(now), partsPerWindow - 1);
        account.balance = std::min(account.balance + slack.earned * windows,
                                   slack.saved + requests * this->settings.ratio * savedRatioFraction);
        return account;
    }

    Millis startedAt;
    RetryBudgetShareSettings settings;
    std::unordered_map<PoolId, Account> accounts;
};

RetryBudgetShare::RetryBudgetShare(const RetryBudgetShareSettings &settings, Millis startedAt)
    : d(std::make_unique<Private>())
{
    this->d->settings = settings;
    this->d->startedAt = startedAt;
}

RetryBudgetShare::~RetryBudgetShare() = default;

void RetryBudgetShare::setSettings(const RetryBudgetShareSettings &settings)
{
    this->d->settings = settings;
}

void RetryBudgetShare::countRequest(const PoolId &service, const RetryBudgetFleet &fleet, Millis now)
{
    // The balance is limited before the request raises the limit, or savings that had expired would count again.
    Account &account = this->d->currentAccount(service, fleet, now);
    account.requests.add(this->d->partNumberAt(now));
    account.balance += this->d->settings.ratio * earnedRatioFraction;
}

bool RetryBudgetShare::tryRetry(const PoolId &service, const RetryBudgetFleet &fleet, Millis now)
{
    Account &account = this->d->currentAccount(service, fleet, now);
    if (account.balance < 1) {
        return false;
    }
    account.balance -= 1;
    return true;
}

double RetryBudgetShare::remaining(const PoolId &service, const RetryBudgetFleet &fleet, Millis now)
{
    return this->d->currentAccount(service, fleet, now).balance;
}

} // namespace Sequoiausher
