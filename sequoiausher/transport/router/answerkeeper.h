#pragma once

// One request's answer in the table of answers, from which a retry under the same key takes it. A request without a
// key never begins one, and then nothing is kept.
//
//     AnswerKeeper kept(answers, request);
//     if (kept.start(now, key, bodyDigest).verdict == StartVerdict::Started) { ... run the request ... }
//     kept.setHead(status, contentType);
//     kept.append(bytes);
//     kept.finish(now, AnswerState::Complete, "");

#include "sequoiausher/state/answers/answertable.h"

#include <string>
#include <string_view>

namespace Sequoiausher {

/** The answer that one attempt keeps for others. */
class AnswerKeeper
{
public:
    /** @param table outlives the answer. */
    AnswerKeeper(AnswerTable &table, const RequestId &request);

    /** Begins to keep, where no other attempt of this router has the key. */
    StartResult start(Millis now, const ClaimKey &key, std::uint64_t bodyDigest);
    void setHead(int status, const std::string &contentType);
    void append(std::string_view bytes);
    /** The answer was read along from another router: it is kept here, but not handed over. */
    void setCopy();
    /** @return whether the answer was kept until now. */
    bool finish(Millis now, AnswerState state, const std::string &reason);

private:
    AnswerTable &table;
    RequestId request;
    bool keeping = false;
};

} // namespace Sequoiausher
