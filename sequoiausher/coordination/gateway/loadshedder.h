#pragma once

// Refuses at once a part of the requests to a service that is asked for more than it can do, so that those it takes are
// recordAnswer in time. Without this its queues stay full: at 24 waiting before 6 places of 30 ms each, an answer takes
// 150 ms, and where that is the aim, half of all the work done is for answers that come too late.
//
// Nobody counts for the whole fleet, and reports are older than an answer takes. Each gateway goes by its own answers:
// where they take longer than a part of their aim while the targets' places are all taken, it lets fewer requests
// through, in proportion to how much longer; where they take less, more. All gateways see the same queues, so they
// settle on about the same part.
//
//     LoadShedder shedder;
//     if (!shedder.decideAdmission(service, {RequestClass::Background, isLate}, random(), now).isAdmitted) { refuse();
//     } shedder.recordAnswer(service, {.took = took, .aim = aim, .isCrowded = inFlight > places}, now);

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"
#include "sequoiausher/base/requestclass.h"

#include <unordered_map>

namespace Sequoiausher {

/** What one answer tells of its service's queues. */
struct AnswerTime
{
    Millis took;
    /** Within which it was of full use. */
    Millis aim;
    /** More requests were in flight than the service's targets run at once, as far as is known. */
    bool isCrowded = false;
};

/** What decides how early a request gives way. */
struct SheddingRank
{
    RequestClass requestClass = RequestClass::Interactive;
    /** Its aim has passed, most likely since it was refused before: whoever can still be in time goes first. */
    bool isLate = false;
};

/** What becomes of one request. */
struct SheddingDecision
{
    bool isAdmitted = true;
    /** The part of such requests that go on, 0 to 1. */
    double admittedPart = 1;
};

/** The part of the requests that each service gets. Not thread-safe. */
class LoadShedder
{
public:
    /** Whether a request goes on. @param draw at random, from 0 up to 1. */
    SheddingDecision decideAdmission(const PoolId &service, SheddingRank rank, double draw, Millis now) const;
    /** An answer came back. */
    void recordAnswer(const PoolId &service, const AnswerTime &answer, Millis now);
    /** A target had no room for a request. */
    void recordRejection(const PoolId &service, Millis now);

    /** The part of the requests of a rank that go on, 0 to 1. */
    double admittedPart(const PoolId &service, SheddingRank rank, Millis now) const;

private:
    struct Pressure
    {
        /** 0 where all goes on; at 1 nothing of the least urgent class does. */
        double value = 0;
        Millis at;
    };

    double decayedPressure(const PoolId &service, Millis now) const;
    void addExcess(const PoolId &service, double excess, Millis now);

    std::unordered_map<PoolId, Pressure> pressures;
};

} // namespace Sequoiausher
