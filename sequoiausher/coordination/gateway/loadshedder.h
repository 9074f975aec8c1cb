#pragma once

// Rejects a fraction of the requests to an overloaded service immediately, so that the admitted requests are answered
// in time. Without load shedding the queues of the service stay full: with 24 requests waiting for 6 places of 30 ms
// each, an answer takes 150 ms, and if that is the aim, half of the work is spent on answers that come too late.
//
// There is no fleet-wide count, and reports are older than an answer takes. Each gateway relies on its own answers.
// Where they take longer than a fraction of their aim while all places of the targets are taken, the gateway admits
// fewer requests, in proportion to the excess; where they take less, it admits more. All gateways see the same queues,
// so they converge on about the same fraction.
//
//     LoadShedder shedder;
//     if (!shedder.decideAdmission(service, {RequestClass::Background, isLate}, random(), now).isAdmitted) {
//         refuse();
//     }
//     shedder.recordAnswer(service, {.took = took, .aim = aim, .isCrowded = inFlight > places}, now);

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"
#include "sequoiausher/base/requestclass.h"

#include <unordered_map>

namespace Sequoiausher {

/** The response time of one answer, as evidence of the queues of its service. */
struct AnswerTime
{
    Millis took;
    /** The time within which the route aims to answer. */
    Millis aim;
    /** As far as is known, more requests were in flight than the targets of the service run at once. */
    bool isCrowded = false;
};

/** Determines how early a request is shed. */
struct SheddingRank
{
    RequestClass requestClass = RequestClass::Interactive;
    /**
     * The aim of the request has passed, most likely because it was refused before. Such requests are shed first, so
     * that callers that can still be answered in time go ahead.
     */
    bool isLate = false;
};

/** The decision about one request. */
struct SheddingDecision
{
    bool isAdmitted = true;
    /** The fraction of requests of this rank that are admitted, 0 to 1. */
    double admittedFraction = 1;
};

/** Decides for each service which fraction of its requests is admitted. Not thread-safe. */
class LoadShedder
{
public:
    /** Decides whether a request is admitted. @param draw random number in [0, 1). */
    SheddingDecision decideAdmission(const PoolId &service, SheddingRank rank, double draw, Millis now) const;
    /** Records the response time of an answer. */
    void recordAnswer(const PoolId &service, const AnswerTime &answer, Millis now);
    /** Records that a target rejected a request because it was full. */
    void recordRejection(const PoolId &service, Millis now);

    /** Returns the fraction of the requests of a rank that are admitted, 0 to 1. */
    double admittedFraction(const PoolId &service, SheddingRank rank, Millis now) const;

private:
    struct Pressure
    {
        /** At 0 all requests are admitted; at 1 the least urgent class is shed down to its minimum. */
        double value = 0;
        Millis at;
    };

    double decayedPressure(const PoolId &service, Millis now) const;
    void addExcess(const PoolId &service, double excess, Millis now);

    std::unordered_map<PoolId, Pressure> pressures;
};

} // namespace Sequoiausher
