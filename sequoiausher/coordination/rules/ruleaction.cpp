#include "sequoiausher/coordination/rules/ruleaction.h"

#include <algorithm>
#include <array>

namespace Sequoiausher {

namespace {

constexpr std::int64_t msPerHour = 3600000;
constexpr std::int64_t secondsPerDay = 86400;
constexpr std::int64_t maxRequests = 1000000;
constexpr std::int64_t statusForbidden = 403;
constexpr std::int64_t statusNotFound = 404;
constexpr std::int64_t statusTooMany = 429;
constexpr std::int64_t statusUnavailable = 503;

std::optional<std::uint32_t> readNumber(SectionReader &section, std::string_view key, const IntegerRange &range)
{
    const std::optional<std::int64_t> value = section.integer(key, range);
    return value ? std::optional(static_cast<std::uint32_t>(*value)) : std::nullopt;
}

void readHedging(SectionReader &section, Decision &decision)
{
    constexpr std::int64_t maxHedgePercent = 50;
    constexpr std::int64_t maxWindowSeconds = 600;
    constexpr std::int64_t msPerSecond = 1000;
    const auto percent = readNumber(section, "then.hedge_percent", {1, maxHedgePercent, "percent of the requests"});
    const auto seconds = readNumber(section, "then.hedge_window_s", {1, maxWindowSeconds, "seconds"});
    decision.hedgePercent = percent.value_or(0);
    if (seconds) {
        decision.hedgeWindow = Millis{*seconds * msPerSecond};
    }
    if (percent && decision.overload != Overload::Reserve) {
        section.report(*section.entry("then.hedge_percent"),
                       "then.overload = reserve beside it: the admission owner holds the limit");
    }
    if (seconds && !percent) {
        section.report(*section.entry("then.hedge_window_s"), "then.hedge_percent beside it");
    }
}

void readRouting(SectionReader &section, RuleAction &action)
{
    Decision &decision = action.decision;
    decision.pool.value = section.plainName("then.pool").value_or("");
    decision.policy = section.name<PolicyKind>("then.policy").value_or(decision.policy);
    decision.boundPercent = readNumber(section, "then.bound_percent", {101, 1000, "percent of the mean load"});
    action.priority = readNumber(section, "then.priority", {0, 9, "0 first to 9 last"});
    decision.queueOrder = section.name<QueueOrder>("then.queue_order").value_or(decision.queueOrder);
    decision.deadline = section.duration("then.deadline_ms", {1, msPerHour, ""});
    decision.retry = section.name<RetryMode>("then.retry").value_or(decision.retry);
    decision.retryBudgetPercent = readNumber(section, "then.retry_budget_percent", {0, 100, "percent of requests"})
                                      .value_or(decision.retryBudgetPercent);
    decision.claim = section.name<ClaimMode>("then.claim").value_or(decision.claim);
    decision.cacheMiss = section.name<CacheMiss>("then.cache_miss").value_or(decision.cacheMiss);
    decision.overload = section.name<Overload>("then.overload").value_or(decision.overload);
    readHedging(section, decision);
    decision.experiment = section.plainName("then.experiment").value_or("");
    decision.arm = section.plainName("then.arm").value_or("");
}

void readLimits(SectionReader &section, RuleLimits &limits)
{
    limits.ratePerSecond = readNumber(section, "then.rate_per_second", {1, maxRequests, "requests a second"});
    limits.burst = readNumber(section, "then.burst", {1, maxRequests, "requests"});
    limits.inFlight = readNumber(section, "then.in_flight", {1, maxRequests, "requests"});
    limits.queueLength = readNumber(section, "then.queue_length", {0, maxRequests, "requests"});
    limits.queueTime = section.duration("then.queue_time_ms", {0, msPerHour, ""});
}

std::optional<Refusal> readRefusal(SectionReader &section)
{
    Refusal refusal;
    refusal.text = section.text("then.refuse_text").value_or("refused by a rule of the operator");
    refusal.retryAfterSeconds = readNumber(section, "then.retry_after_s", {1, secondsPerDay, "seconds"});
    const IniEntry *entry = section.entry("then.refuse");
    if (entry == nullptr) {
        return std::nullopt;
    }
    const std::int64_t status = parseInteger(entry->value, {statusForbidden, statusUnavailable, ""}).value_or(0);
    const bool mayRetry = status == statusTooMany || status == statusUnavailable;
    if (!mayRetry && status != statusForbidden && status != statusNotFound) {
        section.report(*entry, "a status: 403, 404, 429 or 503");
        return refusal;
    }
    refusal.status = static_cast<std::uint32_t>(status);
    if (mayRetry && !section.entry("then.retry_after_s")) {
        section.report(*entry, "then.retry_after_s beside it: a refusal that may be tried again says when");
    }
    if (!mayRetry && section.entry("then.retry_after_s")) {
        section.report(*section.entry("then.retry_after_s"), "none with 403 and 404: trying again is of no use");
    }
    return refusal;
}

/** Reports other `then.` keys in a rule that refuses, and refusal keys in a rule that does not. */
void checkRefusalKeys(SectionReader &section, bool refuses)
{
    constexpr std::array<std::string_view, 3> refusalKeys{"then.refuse", "then.refuse_text", "then.retry_after_s"};
    for (const IniEntry &entry : section.section().entries) {
        const bool isRefusal = std::find(refusalKeys.begin(), refusalKeys.end(), entry.key) != refusalKeys.end();
        const bool isExperiment = entry.key == "then.experiment" || entry.key == "then.arm";
        if (refuses && entry.key.starts_with("then.") && !isRefusal && !isExperiment) {
            section.report(entry, "no such key beside then.refuse");
        }
        if (!refuses && isRefusal) {
            section.report(entry, "then.refuse beside it");
        }
    }
}

void checkCombinations(SectionReader &section, const RuleAction &action)
{
    const Decision &decision = action.decision;
    const IniEntry *retry = section.entry("then.retry");
    // Resending a request that may have run could run it twice, although it has a claim.
    if (retry != nullptr && decision.retry == RetryMode::Idempotent && decision.claim == ClaimMode::Required) {
        section.report(*retry, "none or safe, since then.claim = required runs each request at most once");
    }
    const IniEntry *priority = section.entry("then.priority");
    if (priority != nullptr && decision.queueOrder == QueueOrder::ShortestFirst) {
        section.report(*priority, "none with then.queue_order = shortest-first, which sets the priority");
    }
    const IniEntry *experiment = section.entry("then.experiment");
    const IniEntry *arm = section.entry("then.arm");
    if (experiment != nullptr && arm == nullptr) {
        section.report(*experiment, "then.arm beside it");
    }
    if (arm != nullptr && experiment == nullptr) {
        section.report(*arm, "then.experiment beside it");
    }
    const IniEntry *burst = section.entry("then.burst");
    if (burst != nullptr && section.entry("then.rate_per_second") == nullptr) {
        section.report(*burst, "then.rate_per_second beside it");
    }
}

} // namespace

RuleAction parseAction(SectionReader &section)
{
    RuleAction action;
    readRouting(section, action);
    readLimits(section, action.decision.limits);
    action.decision.refusal = readRefusal(section);
    checkRefusalKeys(section, action.decision.refusal.has_value());
    checkCombinations(section, action);
    if (!action.decision.refusal && section.entry("then.pool") == nullptr) {
        section.report("neither then.pool nor then.refuse", "one of them");
    }
    return action;
}

} // namespace Sequoiausher
