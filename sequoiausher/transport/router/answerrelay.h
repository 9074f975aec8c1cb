#pragma once

// What the caller of one request gets: the answer's head, parts and end, or an error in their place. The same goes into
// the table of answers for retries, and into the metrics.
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
 * The answer of one request. Where an end has mayHaveRun, the request may have been run by a target, and its key stays
 * taken; else the key is free for the next attempt.
 */
class AnswerRelay : public JoinedAnswerListener
{
public:
    /** @param order outlives it. */
    AnswerRelay(const SessionContext &context, const SessionOrder &order);

    RequestTimes &times();
    AnswerKeeper &kept();

    /** The answer is that of another attempt. */
    void attachedTo(const RequestId &attempt);
    void head(int status, const std::string &contentType, const TargetId &target);
    /** @return whether the caller lags so far behind that no more should be read for it. */
    bool part(std::string_view bytes);
    /** Calls back once a caller that lagged has caught up. */
    void whenDrained(std::function<void()> callback);
    /** The answer is whole. With Outcome::Attached it came from another router, which has it too. */
    void complete(Outcome outcome, bool mayHaveRun);
    /** @param answer whether the caller is told; not where a part of another answer has been told already. */
    void refuse(const Refuse &refusal, bool mayHaveRun, bool answer);
    void breakOff(RefusalReason reason, bool mayHaveRun);

    /** An answer that is read along, and not kept a second time. */
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
