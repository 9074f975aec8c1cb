#include "sequoiausher/transport/router/answerkeeper.h"

#include <utility>

namespace Sequoiausher {

AnswerKeeper::AnswerKeeper(AnswerTable &theTable, const RequestId &theRequest) : table(theTable), request(theRequest)
{
}

StartResult AnswerKeeper::start(Millis now, const ClaimKey &key, std::uint64_t bodyDigest)
{
    const StartResult result = this->table.start(now, this->request, key, bodyDigest);
    this->keeping = result.verdict == StartVerdict::Started;
    return result;
}

void AnswerKeeper::setHead(int status, const std::string &contentType)
{
    if (this->keeping) {
        this->table.setHead(this->request, AnswerHead{static_cast<std::uint32_t>(status), contentType});
    }
}

void AnswerKeeper::append(std::string_view bytes)
{
    if (this->keeping) {
        this->table.append(this->request, bytes);
    }
}

void AnswerKeeper::setCopy()
{
    if (this->keeping) {
        this->table.setCopy(this->request);
    }
}

bool AnswerKeeper::finish(Millis now, AnswerState state, const std::string &reason)
{
    if (!std::exchange(this->keeping, false)) {
        return false;
    }
    this->table.finish(now, this->request, state, reason);
    return true;
}

} // namespace Sequoiausher
