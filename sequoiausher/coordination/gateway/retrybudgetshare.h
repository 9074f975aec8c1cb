#pragma once

// This gateway's share of the retries that the whole fleet may send to a service. The bound of the fleet is a ratio of
// its requests plus a fixed slack in any window. Each gateway applies the ratio to its own requests and uses a share of
// the slack, so the sum stays within the bound without messages between gateways.
//
//     RetryBudgetShare share({.ratio = 0.2, .slack = 54, .window = Millis{10000}});
//     share.countRequest(service, now);
//     if (share.tryRetry(service, gateways, now)) { ... }

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

/** Counts requests and retries for each service. Not thread-safe. */
class RetryBudgetShare
{
public:
    explicit RetryBudgetShare(const RetryBudgetShareSettings &settings);
    ~RetryBudgetShare();

    void setSettings(const RetryBudgetShareSettings &settings);
    /** Counts a caller's request to service. */
    void countRequest(const PoolId &service, Millis now);
    /**
     * Whether one more retry may be sent; if so, it is counted.
     * @param gateways number of gateways that share the slack.
     */
    bool tryRetry(const PoolId &service, std::size_t gateways, Millis now);
    /** The number of retries that tryRetry() would allow at this time; may be a fraction, or negative. */
    double remaining(const PoolId &service, std::size_t gateways, Millis now);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
