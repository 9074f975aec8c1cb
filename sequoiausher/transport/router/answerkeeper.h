#pragma once

// Stores the answer to one request in the table of answers, from which a retry with the same key gets it. The answer to
// a request without a key is not stored.
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

/** The stored answer of one attempt. */
class AnswerKeeper
{
public:
    /** @param table outlives this. */
    AnswerKeeper(AnswerTable &table, const RequestId &request);

    /** Begins to store the answer, unless another attempt of this router has the key. */
    StartResult start(Millis now, const ClaimKey &key, std::uint64_t bodyDigest);
    void setHead(int status, const std::string &contentType);
    void append(std::string_view bytes);
    /** The answer was received from another router: it is kept here, but not transferred at a stop. */
    void setCopy();
    /** @return whether the answer was stored until now. */
    bool finish(Millis now, AnswerState state, const std::string &reason);

private:
    AnswerTable &table;
    RequestId request;
    bool keeping = false;
};

} // namespace Sequoiausher
