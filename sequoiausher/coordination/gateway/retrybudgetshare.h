#pragma once

// This gateway's share of the retries that the whole fleet may send to a service. The bound of the fleet is a ratio of
// its requests plus a fixed slack, in any window of time and over all processes that ran in it.
//
// Each process has a balance for each service, which starts at zero and is limited. A request adds a part of a retry,
// time adds a part of this gateway's share of the slack, and a retry takes one. The limit is the rest of that share
// plus a part of what this process's requests of the last window are worth. So in any window the retries of all
// processes are at most what was saved up before it, for which the rest of the slack and the window before pay, and
// what requests and time earn in it. A process that ends takes its savings with it and the next one starts without any,
// so restarts never raise the sum, whatever their number and time, and nothing has to be remembered or exchanged. The
// same holds for a process that freezes, since what it earns at once when it wakes is limited like any other savings.
//
//     RetryBudgetShare share({.ratio = 0.2, .slack = 54, .window = Millis{10000}}, now);
//     share.countRequest(service, {.gateways = 7}, now);
//     if (share.tryRetry(service, {.gateways = 7}, now)) { ... }

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"

#include <cstddef>
#include <memory>

namespace Sequoiausher {

/** The bound of the whole fleet. */
struct RetryBudgetShareSettings
{
    /** Retries allowed for each request of the window. */
    double ratio = 0.2;
    /** Retries allowed in a window regardless of the number of requests. */
    double slack = 50;
    Millis window{10000};
};

/** The gateways that share the slack, as far as this one knows. */
struct RetryBudgetFleet
{
    std::size_t gateways = 1;
    /** Whether gateways counts all of them. If not, no share of the slack is used. */
    bool isComplete = true;
};

/** Counts requests and retries for each service. Not thread-safe. */
class RetryBudgetShare
{
public:
    /** @param startedAt when this process started; no share of the slack is earned before. */
    RetryBudgetShare(const RetryBudgetShareSettings &settings, Millis startedAt);
    ~RetryBudgetShare();

    /** Changes the bound. What was saved up beyond the new limit is lost. */
    void setSettings(const RetryBudgetShareSettings &settings);
    /** Counts a caller's request to service. */
    void countRequest(const PoolId &service, const RetryBudgetFleet &fleet, Millis now);
    /** Whether one more retry may be sent; if so, it is counted. */
    bool tryRetry(const PoolId &service, const RetryBudgetFleet &fleet, Millis now);
    /** The number of retries that may be sent at this time; may be a fraction. */
    double remaining(const PoolId &service, const RetryBudgetFleet &fleet, Millis now);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
