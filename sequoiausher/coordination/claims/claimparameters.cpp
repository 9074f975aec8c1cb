#include "sequoiausher/coordination/claims/claimparameters.h"

#include "sequoiausher/base/error.h"

#include <algorithm>
#include <charconv>

namespace Sequoiausher {

namespace {

[[noreturn]] void refuse(const std::string &reason)
{
    throw Error(Step::Settings, "claims", reason);
}

std::int64_t positive(const std::string &name, const std::string &text)
{
    std::int64_t value = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc{} || parsed.ptr != end || value <= 0) {
        refuse(name + " must be a positive whole number, not '" + text + "'");
    }
    return value;
}

const std::map<std::string, std::size_t ClaimParameters::*> &counts()
{
    static const std::map<std::string, std::size_t ClaimParameters::*> table{
        {"witnesses", &ClaimParameters::witnesses},
        {"quorum", &ClaimParameters::quorum},
        {"max_records", &ClaimParameters::maxRecords},
        {"page_records", &ClaimParameters::pageRecords},
        {"handover_instances", &ClaimParameters::handoverInstances},
    };
    return table;
}

const std::map<std::string, Millis ClaimParameters::*> &spans()
{
    static const std::map<std::string, Millis ClaimParameters::*> table{
        {"lifetime_ms", &ClaimParameters::lifetime},
        {"dispatch_window_ms", &ClaimParameters::dispatchWindow},
        {"claim_timeout_ms", &ClaimParameters::claimTimeout},
        {"retry_delay_ms", &ClaimParameters::retryDelay},
        {"contention_delay_ms", &ClaimParameters::contentionDelay},
        {"settle_time_ms", &ClaimParameters::settleTime},
        {"tombstone_lifetime_ms", &ClaimParameters::tombstoneLifetime},
        {"retry_after_ms", &ClaimParameters::retryAfter},
    };
    return table;
}

} // namespace

std::size_t WitnessQuorum::tolerated() const
{
    const std::size_t twice = 2 * this->quorum;
    return twice > this->witnesses ? twice - this->witnesses - 1 : 0;
}

WitnessQuorum::Handover WitnessQuorum::handover() const
{
    constexpr std::size_t learnerAndOneThatKnows = 2;
    if (this->quorum < learnerAndOneThatKnows) {
        return Handover{};
    }
    const std::size_t spare = this->quorum - learnerAndOneThatKnows;
    return Handover{true, spare - std::min<std::size_t>(spare, 1)};
}

Millis ClaimParameters::memory() const
{
    return this->lifetime + this->dispatchWindow;
}

std::size_t ClaimParameters::tolerated() const
{
    return WitnessQuorum{this->witnesses, this->quorum}.tolerated();
}

WitnessQuorum ClaimParameters::quorumFor(std::size_t instances) const
{
    if (instances >= this->witnesses) {
        return WitnessQuorum{this->witnesses, this->quorum};
    }
    const std::size_t strict = (instances + this->tolerated()) / 2 + 1;
    return WitnessQuorum{instances, std::max<std::size_t>(1, std::min(instances, strict))};
}

void checkClaimParameters(const ClaimParameters &parameters)
{
    if (parameters.witnesses == 0 || parameters.quorum > parameters.witnesses) {
        refuse("quorum must be at most witnesses, and witnesses at least 1");
    }
    if (2 * parameters.quorum <= parameters.witnesses) {
        refuse("two quorums need not meet: 2 * quorum must be larger than witnesses");
    }
    if (parameters.claimTimeout >= parameters.dispatchWindow) {
        refuse("claim_timeout_ms must be shorter than dispatch_window_ms");
    }
    if (parameters.settleTime <= parameters.dispatchWindow) {
        refuse("settle_time_ms must be longer than dispatch_window_ms");
    }
    constexpr std::int64_t farShorter = 10;
    if (parameters.dispatchWindow * farShorter > parameters.lifetime) {
        refuse("dispatch_window_ms must be at most a tenth of lifetime_ms");
    }
    const bool positive = std::all_of(
        spans().begin(), spans().end(), [&](const auto &entry) { return parameters.*entry.second > Millis{0}; });
    if (!positive || parameters.maxRecords == 0 || parameters.pageRecords == 0) {
        refuse("every time and bound must be larger than 0");
    }
}

ClaimParameters parseClaimParameters(const std::map<std::string, std::string> &settings)
{
    ClaimParameters parameters;
    for (const auto &[name, text] : settings) {
        const std::int64_t value = positive(name, text);
        if (const auto count = counts().find(name); count != counts().end()) {
            parameters.*count->second = static_cast<std::size_t>(value);
        } else if (const auto span = spans().find(name); span != spans().end()) {
            parameters.*span->second = Millis{value};
        } else {
            refuse("unknown setting '" + name + "'");
        }
    }
    checkClaimParameters(parameters);
    return parameters;
}

} // namespace Sequoiausher
