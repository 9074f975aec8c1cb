#include "sequoiausher/coordination/claims/claimparameters.h"

#include "sequoiausher/base/error.h"

#include <algorithm>
#include <array>

namespace Sequoiausher {

namespace {

/** @param reason follows the word "expected" in the message of the settings. */
[[noreturn]] void throwSettingsError(const std::string &reason)
{
    throw Error(Step::Settings, "claims", reason);
}

constexpr std::array durations{&ClaimParameters::lifetime,
                               &ClaimParameters::dispatchWindow,
                               &ClaimParameters::claimTimeout,
                               &ClaimParameters::retryDelay,
                               &ClaimParameters::contentionDelay,
                               &ClaimParameters::settleTime,
                               &ClaimParameters::tombstoneLifetime,
                               &ClaimParameters::retryAfter};

} // namespace

std::size_t WitnessQuorum::overlapMargin() const
{
    const std::size_t twice = 2 * this->quorum;
    return twice > this->witnesses ? twice - this->witnesses - 1 : 0;
}

WitnessQuorum::HandoverLimit WitnessQuorum::handoverLimit() const
{
    // The witness that pulls the claims, and one other member of the quorum.
    constexpr std::size_t minHandoverMembers = 2;
    if (this->quorum < minHandoverMembers) {
        return HandoverLimit{};
    }
    const std::size_t spare = this->quorum - minHandoverMembers;
    return HandoverLimit{true, spare - std::min<std::size_t>(spare, 1)};
}

Millis ClaimParameters::claimRetention() const
{
    return this->lifetime + this->dispatchWindow;
}

std::size_t ClaimParameters::overlapMargin() const
{
    return WitnessQuorum{this->witnesses, this->quorum}.overlapMargin();
}

WitnessQuorum ClaimParameters::quorumFor(std::size_t instances) const
{
    if (instances >= this->witnesses) {
        return WitnessQuorum{this->witnesses, this->quorum};
    }
    const std::size_t toleratingQuorum = (instances + this->overlapMargin()) / 2 + 1;
    return WitnessQuorum{instances, std::max<std::size_t>(1, std::min(instances, toleratingQuorum))};
}

void checkClaimParameters(const ClaimParameters &parameters)
{
    if (parameters.witnesses == 0 || parameters.quorum > parameters.witnesses) {
        throwSettingsError("quorum to be at most witnesses, and witnesses at least 1");
    }
    if (2 * parameters.quorum <= parameters.witnesses) {
        throwSettingsError("2 * quorum to be larger than witnesses, so that two quorums share a witness");
    }
    if (parameters.claimTimeout >= parameters.dispatchWindow) {
        throwSettingsError("claim_timeout_ms to be shorter than dispatch_window_ms");
    }
    if (parameters.settleTime <= parameters.dispatchWindow) {
        throwSettingsError("settle_time_ms to be longer than dispatch_window_ms");
    }
    constexpr std::int64_t minWindowsPerLifetime = 10;
    if (parameters.dispatchWindow * minWindowsPerLifetime > parameters.lifetime) {
        throwSettingsError("dispatch_window_ms to be at most a tenth of lifetime_ms");
    }
    const bool positive = std::all_of(
        durations.begin(), durations.end(), [&](const auto span) { return parameters.*span > Millis{0}; });
    if (!positive || parameters.maxRecords == 0 || parameters.pageRecords == 0) {
        throwSettingsError("every time limit and bound to be larger than 0");
    }
}

} // namespace Sequoiausher
