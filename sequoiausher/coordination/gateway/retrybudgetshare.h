#pragma once

// This gateway's part of what the whole fleet may send to a service beyond the first arrival of each request. The
// fleet's bound is a ratio of its requests and a fixed slack in any window; each gateway keeps the ratio for its own
// requests and a part of the slack, so the sum holds without a word between them.
//
//     RetryBudgetShare share({.ratio = 0.2, .slack = 54, .window = Millis{10000}});
//     share.countRequest(service, now);
//     if (share.tryRetry(service, gateways, now)) { ... }

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"

#include <cstddef>
#include <memory>

namespace Sequoiausher {

/** The fleet's bound. */
struct RetryBudgetShareSettings
{
    /** Retries for each request of the window. */
    double ratio = 0.2;
    /** Retries in a window whatever the requests. */
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
    /** Counts a request of a caller to service. */
    void countRequest(const PoolId &service, Millis now);
    /** Whether one more retry may be sent; it is then counted. @param gateways how many share the slack. */
    bool tryRetry(const PoolId &service, std::size_t gateways, Millis now);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
