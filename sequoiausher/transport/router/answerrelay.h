#pragma once

// Writes the head, parts and end of the answer to the caller of one request, or an error instead. Records the same in
// the table of answers for retries, and in the metrics.
//
//     AnswerRelay relay(context, order);
//     relay.head(status, contentType, target);
//     if (relay.part(bytes)) { ... the caller lags: read no further until whenDrained() ... }
//     relay.complete(Outcome::Complete, mayHaveRun);

#include "sequoiausher/coordination/flow/flowaction.h"
#include "sequoiausher/transport/router/answerkeeper.h"
#include "sequoiausher/transport/router/answerwriter.h"
#include "sequoiausher/transport/router/joinedanswer.h"
#include "sequoiausher/transport/router/requesttimes.h"
#include "sequoiausher/transport/router/sessioncontext.h"
#include "sequoiausher/transport/router/sessionorder.h"

#include <functional>
#include <string>
#include <string_view>

namespace Sequoiausher {

/**
 * The answer to one request. If its end is recorded with mayHaveRun, a target may have run the request, and its key
 * stays in use; otherwise the key is free for the next attempt.
 */
class AnswerRelay : public JoinedAnswerListener
{
public:
    /** @param order outlives this. */
    AnswerRelay(const SessionContext &context, const SessionOrder &order);

    RequestTimes &times();
    AnswerKeeper &kept();

    /** The answer belongs to another attempt. */
    void attachedTo(const RequestId &attempt);
    void head(int status, const std::string &contentType, const TargetId &target);
    /** @return whether so much is waiting for the caller that reading should pause. */
    bool part(std::string_view bytes);
    /** Calls back once the caller has read enough that reading may resume. */
    void whenDrained(std::function<void()> callback);
    /** The answer is complete. With Outcome::Attached it came from another router, which stores it too. */
    void complete(Outcome outcome, bool mayHaveRun);
    /** @param answer whether to write an error to the caller; not if it already has a part of another answer. */
    void refuse(const Refuse &refusal, bool mayHaveRun, bool answer);
    void breakOff(RefusalReason reason, bool mayHaveRun);

    /** The answer of another attempt, which is not stored a second time. */
    void joinedHead(const AnswerHead &head) override;
    void joinedPart(std::string_view bytes) override;
    void completeJoined();
    void breakOffJoined(const Refuse &refusal);

private:
    void finishKept(AnswerState state, const std::string &reason, bool mayHaveRun);
    void count(Outcome outcome);
    void logRefusal(const Refuse &refusal) const;

    SessionContext context;
    const SessionOrder &order;
    AnswerWriter writer;
    AnswerKeeper record;
    RequestTimes clock;
    bool counted = false;
};

} // namespace Sequoiausher
