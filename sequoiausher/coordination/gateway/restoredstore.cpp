#include "sequoiausher/coordination/gateway/restoredstore.h"

namespace Sequoiausher {

void RestoredStore::recordReturn(Revision newestVersion, Millis now)
{
    this->returnedAt = now;
    this->newestBeforeReturn = newestVersion;
    this->copyWrittenAt.reset();
}

bool RestoredStore::provesNothingNewer(Revision version, Revision writtenAt, Millis now)
{
    if (!this->returnedAt || version > this->newestBeforeReturn) {
        return true;
    }
    this->copyWrittenAt = this->copyWrittenAt.value_or(writtenAt);
    if (version < this->newestBeforeReturn) {
        return false;
    }
    return writtenAt != *this->copyWrittenAt || now >= *this->returnedAt + rewriteTime;
}

} // namespace Sequoiausher
